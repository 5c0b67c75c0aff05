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

/// How the owner side reaches the gates of this host. Hooks run with no lock
/// held.
struct RemoteGateOwnerHooks {
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  std::function<void()> request_flush;
  /// Puts a request into the gate of its target. The gate answers with
  /// OnStarted and OnFinished.
  std::function<void(const SubRequest& request)> enqueue;
  /// Cancels a request that waits or runs. The gate answers with OnFinished.
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
  /// Cancels work that waits for a front that has left or was restarted; work
  /// that runs is cancelled at its target if it is idempotent.
  void OnFrontLost(std::string_view front);
  void Flush(TimePoint now);
  /// Tells fronts with work here that this host is alive. Call at least every
  /// `kReportInterval`.
  void OnTimer(TimePoint now);
  /// Requests of other hosts that wait or run here.
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
