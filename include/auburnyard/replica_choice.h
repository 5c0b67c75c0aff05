#ifndef AUBURNYARD_REPLICA_CHOICE_H_
#define AUBURNYARD_REPLICA_CHOICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/random_source.h"
#include "auburnyard/shard_map.h"
#include "auburnyard/target_observations.h"

namespace auburnyard {

/// Orders the usable replicas of a shard, best first. Targets in `tried` come
/// last.
using ReplicaOrder = std::function<std::vector<std::string>(
    const Shard& shard,
    const std::vector<std::string>& tried,
    TimePoint now)>;

/// Random order, as a baseline for comparison. Ignores load and failures.
ReplicaOrder MakeRandomOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random);
/// Power of two choices: of two random replicas the one with the lower load
/// first, then the rest in random order. The load is the number of this host's
/// outstanding requests plus the last reported load.
ReplicaOrder MakeTwoChoiceOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random);
/// Order by expected time to the result: the delay to the target's domain, plus
/// the observed delay of the target for each round of requests queued there. A
/// replica in another domain comes first if its total time is lower than that
/// of the local queue. Recently failed targets come last.
ReplicaOrder MakeOwnerOrder(
    std::shared_ptr<const TargetObservations> observations,
    std::shared_ptr<RandomSource> random);

}  // namespace auburnyard

#endif  // AUBURNYARD_REPLICA_CHOICE_H_
