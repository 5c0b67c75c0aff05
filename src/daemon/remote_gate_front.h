#ifndef AUBURNYARD_SRC_DAEMON_REMOTE_GATE_FRONT_H_
#define AUBURNYARD_SRC_DAEMON_REMOTE_GATE_FRONT_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnyard.pb.h"
#include "auburnyard/host_record.h"
#include "src/daemon/remote_gate_outcome.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

/// Dependencies of RemoteGateFront. Hooks run with no lock held.
struct RemoteGateFrontHooks {
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  /// Schedules one call of Flush after the caller's other work, so that
  /// sub-requests of one query share a message.
  std::function<void()> request_flush;
  std::function<void(const AttemptId& attempt)> on_started;
  std::function<void(RemoteGateOutcome outcome)> on_outcome;
  std::function<void(const std::string& owner)> on_owner_timeout;
};

/// Front side of sub-requests at gates of other hosts: sends them to the owners
/// of their targets and receives their outcomes. Thread-safe.
class RemoteGateFront {
 public:
  /// An owner reports at least every RemoteGateOwner::kReportInterval while it
  /// has work of this front; this allows for two lost reports and a round trip
  /// between regions.
  static constexpr std::chrono::milliseconds kOwnerTimeout{400};

  explicit RemoteGateFront(RemoteGateFrontHooks hooks);

  void Enqueue(const HostRecord& owner, SubRequest request, TimePoint now);
  /// The outcome is reported through on_outcome.
  void Cancel(const AttemptId& attempt, Reason reason);
  void Flush(TimePoint now);
  void OnMessage(const proto::Envelope& envelope, TimePoint now);
  /// The owner is suspected, has left or was restarted.
  void OnOwnerLost(std::string_view owner);
  /// Detects owners that have timed out. Call at least every 100 ms.
  void OnTimer(TimePoint now);
  std::size_t outstanding();

 private:
  struct Attempt {
    std::string owner;
    std::string target;
  };
  struct Owner {
    std::string address;
    std::uint64_t nonce = 0;
    TimePoint last_received;
    std::vector<SubRequest> unsent;
    std::vector<proto::Cancellation> cancellations;
    std::size_t outstanding = 0;
  };
  struct Batch {
    std::string address;
    proto::Envelope requests;
    proto::Envelope cancellations;
    std::vector<AttemptId> attempts;
  };

  Batch TakeBatch(Owner& owner, TimePoint now);
  void SendBatch(Batch batch);
  void Fail(const std::vector<AttemptId>& attempts,
            Reason reason,
            RunState run);
  std::vector<AttemptId> TakeAttempts(std::string_view owner);
  bool EraseAttempt(const AttemptId& attempt);

  RemoteGateFrontHooks hooks;
  std::mutex mutex;  // protects the members below
  std::map<std::string, Owner, std::less<>> owners;
  std::unordered_map<AttemptId, Attempt> attempts;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_REMOTE_GATE_FRONT_H_
