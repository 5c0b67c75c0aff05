#ifndef AUBURNYARD_SRC_DAEMON_GATE_TABLE_H_
#define AUBURNYARD_SRC_DAEMON_GATE_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "auburnyard/configuration.h"
#include "src/daemon/gate_hooks.h"
#include "src/daemon/gate_runner.h"

namespace auburnyard {

/// Gates of the targets that this host may send to, by target identifier.
/// Thread safe.
class GateTable {
 public:
  GateTable(boost::asio::io_context& context,
            const Clock& clock,
            GateHooks hooks,
            DecisionRecorder& recorder);

  /// Gates are created only for targets of `own_domain`, or for all targets if
  /// it is empty.
  void SetDomain(std::string own_domain);
  /// Creates, updates and removes gates. Work queued at removed gates is
  /// rejected.
  void Apply(const Configuration& configuration);
  /// Updates the limits of every gate after a membership change.
  void RefreshLimits();
  /// Expires queued work; called periodically.
  void OnTimer();
  /// Checks whether draining targets are still draining; called periodically.
  void ProbeDraining();

  /// Passes the sub-request to the gate of its target. The observer is notified
  /// of a rejection later, never from within this call.
  void Enqueue(const SubRequest& request, SubRequestObserver observer);
  void Cancel(const std::string& target, const AttemptId& id, Reason reason);

  std::shared_ptr<GateRunner> Find(const std::string& target) const;
  void ForEach(const std::function<void(const GateRunner&)>& visit) const;

 private:
  std::vector<std::shared_ptr<GateRunner>> Snapshot() const;

  boost::asio::io_context& context;
  const Clock& clock;
  GateHooks hooks;
  DecisionRecorder& recorder;
  std::string domain;
  mutable std::shared_mutex mutex;
  std::map<std::string, std::shared_ptr<GateRunner>, std::less<>> gates;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_GATE_TABLE_H_
