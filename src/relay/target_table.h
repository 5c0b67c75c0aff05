#ifndef AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_
#define AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "auburnyard/bundle_grouping.h"
#include "auburnyard/cold_rate_limiter.h"
#include "auburnyard/host_table.h"
#include "auburnyard/leaving_targets.h"
#include "auburnyard/placement.h"
#include "auburnyard/report_order.h"
#include "auburnyard/rollout_table.h"
#include "auburnyard/route_table.h"
#include "auburnyard/target_access.h"
#include "auburnyard/target_state.h"
#include "src/relay/target_pool.h"

namespace auburnyard {

/// Failure domains of the deployment, by name, with their regions.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// All registered targets with their pools. Targets that may not receive
/// requests are excluded only here, from the choice as well as from the
/// requests that wait for a connection.
class TargetTable {
 public:
  struct Location {
    std::string domain;
    std::string region;
  };

  /// Rate that all hosts together may send to a cold target.
  struct ColdLimits {
    std::string host_name;
    double rate_factor = 1;  ///< factor on the configured requests per second
    double rate_margin = 0;  ///< requests per second added to it
  };

  TargetTable(const RelayContext& context,
              Location host_location,
              DomainRegions regions,
              const HostTable& hosts,
              ColdLimits cold_limits);

  /// Adds a target or updates its registration. Returns whether the change is
  /// significant, that is more than a heartbeat and the countdown of the
  /// warm-up.
  bool Upsert(const TargetEntry& entry);
  /// Removes a target whose registration is gone. The removal is deferred while
  /// registrations that lapsed during an outage of the store may still return.
  void Remove(std::string_view id);
  /// Replaces all registrations.
  void Reset(const std::vector<TargetEntry>& entries);
  /// Defers removals, from now on, for the time that lapsed registrations take
  /// to return.
  void DeferRemovals();
  void SetEvacuated(std::string_view domain, bool evacuated);
  void ResetEvacuated(const std::set<std::string, std::less<>>& domains);
  /// The incarnation announced that it leaves, in the answer to a request of
  /// this host, or to another host if `request_id` is empty. Holds whatever the
  /// store says of it.
  void OnLeaving(const TargetIncarnation& incarnation,
                 std::string_view request_id);
  /// The same for targets that another entry host names, without addresses.
  void OnLeavingReport(std::span<const TargetIncarnation> reported);
  /// Registered targets of the services that announced that they leave.
  std::vector<TargetIncarnation> LeavingTargetsOf(
      std::span<const std::string> services) const;
  /// Called when the bytes that came in reply to a request are no reply.
  void SetUnreadableHook(std::function<void(const TargetPtr& target,
                                            std::string_view request_id,
                                            std::string_view fault)> hook) {
    this->on_unreadable = std::move(hook);
  }
  /// Called once for each announcement that was not known.
  void SetLeavingHook(std::function<void()> hook) {
    this->on_leaving = std::move(hook);
  }
  /// Whether a request that is limited to the regions, if there are any, may be
  /// sent to the target now.
  TargetAccess AccessTo(const TargetState& target,
                        std::span<const std::string> allowed_regions) const;
  /// Sets the limits per service; null until a configuration has been received.
  void SetRoutes(std::shared_ptr<const RouteTable> table);

  /// Makes the choice of targets follow the rollouts. Without it, all versions
  /// of a service are used alike.
  void SetRollouts(RolloutTable& table, std::function<bool()> in_contact);
  /// The use of the service's versions may have changed.
  void UpdateVersions(std::string_view service);
  RolloutTargets TargetsOf(std::string_view service) const;

  /// Returns the target with the lowest cost among those that may receive
  /// requests for the service now, or null. Counts as a request to the target
  /// if it is cold.
  TargetPtr Choose(std::string_view service,
                   std::span<const std::string> allowed_regions,
                   std::span<const TargetPtr> tried,
                   const PlacementNeeds& needs = {});
  /// Lowest placement cost of the service's targets in each failure domain.
  DomainCosts Costs(std::string_view service,
                    const PlacementNeeds& needs) const;
  /// Load of the target of the service that would answer first; empty if none
  /// may receive requests.
  std::optional<TargetLoad> BestLoad(std::string_view service) const;
  /// Whether a target of the service reports its speed.
  bool ReportsSpeed(std::string_view service) const;
  /// Pool of a target that was just chosen.
  std::shared_ptr<TargetPool> PoolOf(const TargetPtr& target) const;
  /// Targets that are registered for the service.
  std::size_t Replicas(std::string_view service) const;
  /// Periodic work of all pools.
  void Sweep();
  std::size_t size() const { return this->pools.size(); }

  const std::string& own_domain() const { return this->own_location.domain; }

 private:
  using PoolPtr = std::shared_ptr<TargetPool>;

  /// `role`: only targets whose version has it.
  TargetPtr FindBest(std::string_view service,
                     std::span<const std::string> allowed_regions,
                     std::span<const TargetPtr> excluded,
                     const PlacementNeeds& needs,
                     std::optional<VersionRole> role) const;
  TargetPtr ChooseAmong(std::string_view service,
                        std::span<const std::string> allowed_regions,
                        std::span<const TargetPtr> tried,
                        const PlacementNeeds& needs,
                        std::optional<VersionRole> role);
  /// Target of the new version, if this request may go there; else null.
  TargetPtr ChooseCanary(std::string_view service,
                         std::span<const std::string> allowed_regions,
                         const PlacementNeeds& needs);
  /// Whether requests to the service are sent by all hosts: it is not part of a
  /// fan-out, whose parts are fetched by a few hosts.
  bool IsUsedByAll(std::string_view service) const;
  const VersionRoles& RolesOf(std::string_view service) const;
  void RecordAnswer(const TargetState& target,
                    std::string_view kind,
                    bool success,
                    Duration latency);
  bool TryAcquireColdRequest(const TargetState& target);
  /// Rate in requests per second that all hosts together may send to the target
  /// while it is cold; 0: not limited.
  double ColdRate(const TargetState& target) const;
  /// Returns the requests that wait for a target which has become cold.
  void OnCold(TargetPool& pool) const;
  bool MayReceive(const TargetState& target,
                  std::span<const std::string> allowed_regions) const {
    return this->AccessTo(target, allowed_regions) == TargetAccess::kAllowed;
  }
  /// Passes on to the pool whether its target may receive requests. Called for
  /// every change that AccessTo depends on.
  void UpdateAdmission(TargetPool& pool) const;
  void UpdateAdmissions() const;
  /// The target has started again.
  void Restart(const TargetEntry& known, const TargetEntry& entry);
  void Add(const TargetEntry& entry);
  static void LogAdded(const TargetEntry& entry);
  void Discard(std::string_view id);
  void UpdateConnectionShare();
  void ApplyLimits(TargetPool& pool) const;
  /// Number of connections to each target of the service that this host may
  /// use.
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
  std::vector<PoolPtr> retired;  // until their last exchange has ended
  // Time at which each is due.
  std::map<std::string, TimePoint, std::less<>> deferred_removals;
  std::map<std::string, ColdRateLimiter, std::less<>> cold_rates;  // by target
  std::set<std::string, std::less<>> evacuated;
  ReportOrder reports;
  LeavingTargets leaving;
  std::function<void()> on_leaving;
  std::function<void(const TargetPtr&, std::string_view, std::string_view)>
      on_unreadable;
  RolloutTable* rollouts = nullptr;
  std::function<bool()> in_contact;
  std::map<std::string, VersionRoles, std::less<>> roles;  // by service
  TimePoint defer_removals_until{};
  TimePoint next_preconnect{};
  bool resetting = false;  // all registrations are being replaced
  // Share of a target's limit that this host may use.
  double connection_share = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_TABLE_H_
