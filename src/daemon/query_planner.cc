#include "src/daemon/query_planner.h"

#include <utility>

namespace auburnyard {

namespace {

ReplicaOrder MakeOrder(
    SharingPolicy policy,
    const std::shared_ptr<const TargetObservations>& observations,
    std::uint64_t seed) {
  auto random = std::make_shared<RandomSource>(seed);
  switch (policy) {
    case SharingPolicy::kRandom:
      return MakeRandomOrder(observations, random);
    case SharingPolicy::kTwoChoice:
      return MakeTwoChoiceOrder(observations, random);
    case SharingPolicy::kOwner:
      break;
  }
  return MakeOwnerOrder(observations, random);
}

}  // namespace

QueryPlanner::QueryPlanner(SharingPolicy sharing_policy,
                           const Clock& runtime_clock,
                           std::uint64_t seed)
    : policy(sharing_policy),
      clock(runtime_clock),
      observations(std::make_shared<TargetObservations>()),
      order(MakeOrder(sharing_policy, this->observations, seed)) {}

QueryHooks QueryPlanner::HooksFor(
    const std::string& service,
    const ServiceConfig& config,
    std::function<std::shared_ptr<const ShardMap>()> newest_map,
    std::function<void(Reason)> note) {
  const std::shared_ptr<ServiceState> state =
      this->services.Get(service, config);
  // The baseline policy has neither budgets nor hedging.
  const bool budgets = this->policy != SharingPolicy::kRandom;
  QueryHooks hooks;
  hooks.order_replicas = [this](const Shard& shard,
                                const std::vector<std::string>& tried) {
    return this->order(shard, tried, this->clock.Now());
  };
  hooks.take_retry_token = [state, budgets] {
    return !budgets || state->retries.Take();
  };
  hooks.take_hedge_token = [state] { return state->hedges.Take(); };
  hooks.newest_map = std::move(newest_map);
  hooks.on_first_attempt = [state] {
    state->retries.OnFirstAttempt();
    state->hedges.OnFirstAttempt();
  };
  hooks.note = std::move(note);
  return hooks;
}

QueryPolicy QueryPlanner::PolicyFor(const std::string& service,
                                    const ServiceConfig& config) {
  QueryPolicy query_policy;
  query_policy.early_answer = config.early_answer;
  query_policy.min_coverage = config.min_coverage;
  if (this->policy != SharingPolicy::kRandom) {
    query_policy.hedge_delay =
        HedgeDelay(config, this->services.Get(service, config)->latency,
                   this->clock.Now());
  }
  return query_policy;
}

void QueryPlanner::ApplyConfiguration(const Configuration& configuration) {
  const std::lock_guard lock(this->mutex);
  for (const std::string& target : this->configured_targets) {
    if (!configuration.targets.contains(target)) {
      this->observations->Remove(target);
    }
  }
  this->configured_targets.clear();
  for (const auto& [id, target] : configuration.targets) {
    const auto domain = configuration.domains.find(target.domain);
    const bool domain_in =
        domain != configuration.domains.end() && domain->second.in_service;
    this->observations->SetTarget(id, target.domain, target.slots,
                                  domain_in && !target.leaving);
    this->configured_targets.push_back(id);
  }
}

void QueryPlanner::ObserveLatency(const std::string& service,
                                  const ServiceConfig& config,
                                  Duration latency) {
  this->services.Get(service, config)->latency.Add(latency, this->clock.Now());
}

}  // namespace auburnyard
