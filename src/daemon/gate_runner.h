#ifndef AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_
#define AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

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
             GateLimits limits);

  void Enqueue(const SubRequest& request, SubRequestObserver observer);
  void Cancel(const AttemptId& id, Reason reason);
  /// Takes over changed limits of the target and this host's part of them.
  void Configure(const TargetConfig& target, GateLimits limits);
  void SetAdmission(GateAdmission admission);
  void OnTimer();

  TargetConfig config() const;
  /// Requests queued and in flight.
  std::size_t outstanding() const;
  std::uint32_t in_flight() const;
  std::size_t queued() const;
  std::uint32_t window() const;
  bool cold() const;
  std::optional<std::uint32_t> reported_load() const;

 private:
  struct Entry {
    SubRequest request;
    SubRequestObserver observer;
    bool aborted = false;
  };

  void Perform(const std::vector<GateAction>& actions);
  void Dispatch(const AttemptId& id);
  void Reject(const AttemptId& id, Reason reason);
  void Abort(const AttemptId& id);
  void OnReply(const AttemptId& id, TargetReply reply);
  std::optional<Entry> TakeEntry(const AttemptId& id);

  boost::asio::io_context& context;
  const Clock& clock;
  TargetConfig target;
  std::shared_ptr<TargetClient> client;
  mutable std::mutex mutex;
  TargetGate gate;
  std::unordered_map<AttemptId, Entry> entries;
  std::optional<std::uint32_t> last_load;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_GATE_RUNNER_H_
