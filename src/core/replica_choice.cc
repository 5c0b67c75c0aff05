#include "auburnyard/replica_choice.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace auburnyard {

namespace {

// A target that failed within this time is used only if no other remains.
constexpr Duration kFailurePenaltyTime = std::chrono::seconds(2);
// Expected delay of a target without observations.
constexpr Duration kDefaultDelay = std::chrono::milliseconds(5);

// Shuffles the replicas, so that equal ones share the load.
std::vector<std::string> UsableShuffled(const Shard& shard,
                                        const TargetObservations& observations,
                                        RandomSource& random) {
  std::vector<std::string> order;
  for (const std::string& target : shard.targets) {
    if (observations.Get(target).usable) {
      order.push_back(target);
    }
  }
  random.Shuffle(order);
  return order;
}

void PutTriedLast(std::vector<std::string>& order,
                  const std::vector<std::string>& tried) {
  std::stable_partition(
      order.begin(), order.end(), [&tried](const std::string& target) {
        return std::find(tried.begin(), tried.end(), target) == tried.end();
      });
}

std::uint32_t EstimatedLoad(const TargetView& view) {
  return view.outstanding + view.reported_load;
}

// An observed delay halves every second. Otherwise a slow target would receive
// no requests, and its recovery would not be observed.
Duration ExpectedDelay(const TargetView& view, TimePoint now) {
  if (!view.delay) {
    return kDefaultDelay;
  }
  // Another thread may have added the observation after `now` was read.
  const std::chrono::duration<double> age =
      std::max(Duration::zero(), now - view.delay_observed_at);
  return std::chrono::duration_cast<Duration>(*view.delay *
                                              std::exp2(-age.count()));
}

// Sort key: recently failed targets come after all others; then by expected
// time.
std::pair<bool, Duration> Cost(const TargetView& view,
                               const TargetObservations& observations,
                               TimePoint now) {
  const bool last_failure_at =
      view.last_failure_at && now < *view.last_failure_at + kFailurePenaltyTime;
  // The queue depth reported by the owner includes this host's requests there.
  const std::uint32_t depth = std::max(view.outstanding, view.queue_depth);
  const std::uint32_t rounds = depth / std::max(1U, view.slots);
  return {last_failure_at, observations.DomainDelay(view.domain) +
                               ExpectedDelay(view, now) * (1 + rounds)};
}

}  // namespace

ReplicaOrder MakeRandomOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random) {
  return [observations = std::move(observations), random = std::move(random)](
             const Shard& shard, const std::vector<std::string>& tried,
             TimePoint /*now*/) {
    std::vector<std::string> order =
        UsableShuffled(shard, *observations, *random);
    PutTriedLast(order, tried);
    return order;
  };
}

ReplicaOrder MakeTwoChoiceOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random) {
  return [observations = std::move(observations), random = std::move(random)](
             const Shard& shard, const std::vector<std::string>& tried,
             TimePoint /*now*/) {
    std::vector<std::string> order =
        UsableShuffled(shard, *observations, *random);
    PutTriedLast(order, tried);
    const bool both_untried =
        order.size() >= 2 &&
        std::find(tried.begin(), tried.end(), order[1]) == tried.end();
    if (both_untried && EstimatedLoad(observations->Get(order[1])) <
                            EstimatedLoad(observations->Get(order[0]))) {
      std::swap(order[0], order[1]);
    }
    return order;
  };
}

ReplicaOrder MakeOwnerOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random) {
  return [observations = std::move(observations), random = std::move(random)](
             const Shard& shard, const std::vector<std::string>& tried,
             TimePoint now) {
    std::vector<std::string> order =
        UsableShuffled(shard, *observations, *random);
    std::map<std::string, std::pair<bool, Duration>> costs;
    for (const std::string& target : order) {
      costs[target] = Cost(observations->Get(target), *observations, now);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [&costs](const std::string& left, const std::string& right) {
          return costs[left] < costs[right];
        });
    PutTriedLast(order, tried);
    return order;
  };
}

}  // namespace auburnyard
