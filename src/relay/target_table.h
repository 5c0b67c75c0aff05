#ifndef AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_
#define AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "auburnyard/cold_rate.h"
#include "auburnyard/host_table.h"
#include "auburnyard/route_table.h"
#include "auburnyard/target_state.h"
#include "src/relay/target_pool.h"

namespace auburnyard {

/// Failure domains of the deployment, by name, with their regions.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// All registered targets with their pools. The only place where a target is
/// chosen, so that what must not receive work is excluded once.
class TargetTable {
 public:
  struct Location {
    std::string domain;
    std::string region;
  };

  /// How all hosts divide what a cold target bears.
  struct ColdLimits {
    std::string host_name;
    double rate_factor = 1;  ///< of the stated requests per second
    double rate_margin = 0;  ///< requests per second beyond
  };

  TargetTable(const RelayContext& context,
              Location host_location,
              DomainRegions regions,
              const HostTable& hosts,
              ColdLimits cold_limits);

  /// Adds a target or takes over its changed registration. Returns whether it
  /// says more than that the target is alive and its warm-up goes on.
  bool Upsert(const TargetEntry& entry);
  /// The registration is gone. Removal waits while registrations that lapsed
  /// during a loss of the store may still come back.
  void Remove(std::string_view id);
  /// Replaces all registrations.
  void Reset(const std::vector<TargetEntry>& entries);
  /// Holds removals back from now on for as long as lapsed registrations take
  /// to return.
  void DeferRemovals();
  void SetEvacuated(std::string_view domain, bool evacuated);
  void ResetEvacuated(const std::set<std::string, std::less<>>& domains);
  /// Limits per service; null until a configuration is known.
  void SetRoutes(std::shared_ptr<const RouteTable> table);

  /// The target with the lowest cost among those that may receive work of the
  /// service now, or null. A choice counts as a request at a cold target.
  TargetPtr Choose(std::string_view service,
                   std::span<const std::string> allowed_regions,
                   std::span<const TargetPtr> tried);
  /// As Choose, without counting.
  TargetPtr Preview(std::string_view service) const;
  /// Pool of a target that was just chosen.
  std::shared_ptr<TargetPool> PoolOf(const TargetPtr& target) const;
  /// Targets that are registered for the service.
  std::size_t Replicas(std::string_view service) const;
  /// Periodic work of all pools.
  void Sweep();
  std::size_t size() const { return this->pools.size(); }

 private:
  using PoolPtr = std::shared_ptr<TargetPool>;

  TargetPtr FindBest(std::string_view service,
                     std::span<const std::string> allowed_regions,
                     std::span<const TargetPtr> excluded) const;
  bool TryAcquireColdRequest(const TargetState& target);
  bool MayReceive(const TargetState& target,
                  std::span<const std::string> allowed_regions) const;
  void Add(const TargetEntry& entry);
  void Discard(std::string_view id);
  void UpdateConnectionShare();
  void ApplyLimits(TargetPool& pool) const;
  /// Connections to each target of the service that this host may use.
  double ConnectionShare(std::string_view service) const;
  Distance DistanceOf(std::string_view domain) const;
  std::string_view RegionOf(std::string_view domain) const;

  const RelayContext& context;
  Location own_location;
  DomainRegions regions;
  const HostTable& hosts;
  ColdLimits cold_limits;
  std::shared_ptr<const RouteTable> routes;
  std::map<std::string, PoolPtr, std::less<>> pools;  // by target
  std::map<std::string, std::vector<TargetPtr>, std::less<>> by_service;
  std::vector<PoolPtr> retired;  // still have exchanges
  std::map<std::string, TimePoint, std::less<>>
      deferred_removals;                                    // held back until
  std::map<std::string, ColdRate, std::less<>> cold_rates;  // by target
  std::set<std::string, std::less<>> evacuated;
  TimePoint defer_removals_until{};
  TimePoint next_preconnect{};
  double connection_share = 0;  // of a target's limit that this host may use
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_
