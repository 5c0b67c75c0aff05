#ifndef AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_
#define AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/daemon/decision_recorder.h"
#include "src/daemon/gate_hooks.h"
#include "src/daemon/sub_request.h"
#include "src/daemon/target_client.h"

namespace auburnyard {

/// Runs the gate of one target: executes its actions against the target and
/// reports to observers. Thread safe.
class GateRunner : public std::enable_shared_from_this<GateRunner> {
 public:
  GateRunner(boost::asio::io_context& context,
             const Clock& clock,
             const TargetConfig& target,
             const GateHooks& hooks,
             DecisionRecorder& recorder);

  void Enqueue(const SubRequest& request, SubRequestObserver observer);
  void Cancel(const AttemptId& id, Reason reason);
  /// Applies changed limits of the target.
  void Configure(const TargetConfig& target);
  /// Updates this host's share of the limits.
  void RefreshLimits();
  void SetAdmission(GateAdmission admission);
  void OnTimer();
  /// Checks whether a draining target is still draining.
  void ProbeDraining();

  TargetConfig config() const;
  /// Requests queued and in flight.
  std::size_t outstanding() const;
  std::uint32_t in_flight() const;
  std::size_t queued() const;
  std::uint32_t window() const;
  bool cold() const;

 private:
  struct Entry {
    SubRequest request;
    SubRequestObserver observer;
    bool aborted = false;
  };

  bool Authorize(const Entry& entry);
  void CancelDispatch(const AttemptId& id, Reason reason);
  void Record(const std::vector<GateAction>& actions);
  void Perform(const std::vector<GateAction>& actions);
  void Dispatch(const AttemptId& id);
  void Reject(const AttemptId& id, Reason reason);
  void Abort(const AttemptId& id);
  void OnReply(const AttemptId& id, TargetReply reply);
  std::vector<GateAction> EndExchange(const AttemptId& id,
                                      const TargetReply& reply);
  std::optional<Entry> TakeEntry(const AttemptId& id);

  boost::asio::io_context& context;
  const Clock& clock;
  const GateHooks& hooks;
  DecisionRecorder& recorder;
  TargetConfig target;
  std::shared_ptr<TargetClient> client;
  mutable std::mutex mutex;
  TargetGate gate;
  std::unordered_map<AttemptId, Entry> entries;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_
