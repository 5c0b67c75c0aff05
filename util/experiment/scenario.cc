#include "util/experiment/scenario.h"

#include <boost/json/array.hpp>

namespace auburnyard::util {

namespace {

constexpr const char* kOutDomain = "d2";
// The base rate is about 0.3 of the capacity of the portal; this factor
// makes it twice the capacity.
constexpr double kOverloadFactor = 6.5;

void AddStragglers(Cluster& cluster) {
  cluster.ControlTargets({{"slow_share", 0.05}, {"slow_factor", 10.0}});
}

void CrashReplica(Cluster& cluster) {
  const std::string& target = cluster.shape().services[0].shards[0][0];
  cluster.ControlTargets(
      {{"targets", boost::json::array{target}}, {"action", "crash"}});
}

/// The first replica of every shard of the first service restarts.
void RestartReplicas(Cluster& cluster) {
  boost::json::array targets;
  for (const auto& replicas : cluster.shape().services[0].shards) {
    targets.emplace_back(replicas[0]);
  }
  cluster.ControlTargets(
      {{"targets", std::move(targets)}, {"action", "restart"}});
}

void TakeDomainOut(Cluster& cluster) {
  cluster.SetDomainOut(kOutDomain);
}

void BringDomainBack(Cluster& cluster) {
  cluster.ControlTargets({{"domain", kOutDomain}, {"action", "restart"}});
  cluster.SetDomainOut("");
}

void StopPlatform(Cluster& cluster) {
  cluster.ControlPlatform({{"outage", "down"}});
}

void StartPlatform(Cluster& cluster) {
  cluster.ControlPlatform({{"outage", "none"}});
}

std::vector<Scenario> BuildScenarios() {
  return {
      {.name = "steady"},
      {.name = "stragglers", .steps = {{0.0, AddStragglers}}},
      {.name = "replica_lost", .steps = {{0.3, CrashReplica}}},
      {.name = "cold_target", .steps = {{0.3, RestartReplicas}}},
      {.name = "overload", .rate_factor = kOverloadFactor, .all_classes = true},
      {.name = "domain_out_and_back",
       .steps = {{0.25, TakeDomainOut}, {0.6, BringDomainBack}}},
      {.name = "platform_down",
       .steps = {{0.25, StopPlatform}, {0.75, StartPlatform}}}};
}

}  // namespace

std::span<const Scenario> AllScenarios() {
  static const std::vector<Scenario> kScenarios = BuildScenarios();
  return kScenarios;
}

}  // namespace auburnyard::util
