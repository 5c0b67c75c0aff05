#ifndef AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OWNER_H_
#define AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OWNER_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnyard.pb.h"
#include "src/daemon/remote_gate_outcome.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

/// Connects RemoteGateOwner to the gates of this host. Hooks run with no lock
/// held.
struct RemoteGateOwnerHooks {
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  std::function<void()> request_flush;
  /// Enqueues a request at the gate of its target, which reports by OnStarted
  /// and OnFinished.
  std::function<void(const SubRequest& request)> enqueue;
  /// Cancels a queued or running request. The gate reports by OnFinished.
  std::function<
      void(const AttemptId& attempt, const std::string& target, Reason reason)>
      cancel;
};

/// Owner side of sub-requests that fronts send. Thread-safe.
class RemoteGateOwner {
 public:
  static constexpr std::chrono::milliseconds kReportInterval{100};

  explicit RemoteGateOwner(RemoteGateOwnerHooks hooks);

  void OnMessage(const proto::Envelope& envelope, TimePoint now);
  /// The attempt was sent to its target.
  void OnStarted(const AttemptId& attempt);
  void OnFinished(RemoteGateOutcome outcome);
  /// Cancels queued work of a front that has left or was restarted; running
  /// work is cancelled at its target if it is idempotent.
  void OnFrontLost(std::string_view front);
  void Flush(TimePoint now);
  /// Reports to fronts with work here that this host is alive. Call at least
  /// every `kReportInterval`.
  void OnTimer(TimePoint now);
  /// Number of requests of other hosts that are queued or running here.
  std::size_t outstanding();

 private:
  struct Attempt {
    FrontIdentity front;
    std::string target;
    bool started = false;
    bool idempotent = true;
  };
  struct Front {
    std::size_t outstanding = 0;
    TimePoint reported;
    std::vector<AttemptId> started;
    std::vector<RemoteGateOutcome> finished;
  };

  void OnEnqueue(const proto::Envelope& envelope, TimePoint now);
  void OnCancel(const proto::Envelope& envelope);
  bool Add(const FrontIdentity& front,
           const SubRequest& request,
           TimePoint now);
  void Send(const std::string& address, const Front& reports);
  void SendOutcomes(const std::string& address,
                    const std::vector<RemoteGateOutcome>& outcomes);

  RemoteGateOwnerHooks hooks;
  std::mutex mutex;  // protects the members below
  std::unordered_map<AttemptId, Attempt> attempts;
  std::map<FrontIdentity, Front> fronts;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OWNER_H_
