#ifndef AUBURNYARD_SRC_DAEMON_QUERY_PLANNER_H_
#define AUBURNYARD_SRC_DAEMON_QUERY_PLANNER_H_

#include <memory>
#include <string>

#include "auburnyard/query_machine.h"
#include "auburnyard/replica_choice.h"
#include "auburnyard/service_state.h"
#include "src/daemon/settings.h"

namespace auburnyard {

/// Provides the replica order, budgets and hedge delay of queries, based on the
/// observed outcomes of their attempts. Thread safe.
class QueryPlanner {
 public:
  QueryPlanner(SharingPolicy policy, const Clock& clock, std::uint64_t seed);

  /// `newest_map`: newest shard map of the service.
  QueryHooks HooksFor(
      const std::string& service,
      const ServiceConfig& config,
      std::function<std::shared_ptr<const ShardMap>()> newest_map,
      std::function<void(Reason)> note);
  QueryPolicy PolicyFor(const std::string& service,
                        const ServiceConfig& config);

  void ApplyConfiguration(const Configuration& configuration);
  TargetObservations& targets() { return *this->observations; }
  /// Records the latency of a sub-request, measured from enqueueing.
  void ObserveLatency(const std::string& service,
                      const ServiceConfig& config,
                      Duration latency);

 private:
  SharingPolicy policy;
  const Clock& clock;
  std::shared_ptr<TargetObservations> observations;
  ReplicaOrder order;
  ServiceStates services;
  std::mutex mutex;
  std::vector<std::string> configured_targets;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_QUERY_PLANNER_H_
