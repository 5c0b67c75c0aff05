#ifndef AUBURNYARD_REPLICA_CHOICE_H_
#define AUBURNYARD_REPLICA_CHOICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/random_source.h"
#include "auburnyard/shard_map.h"
#include "auburnyard/target_knowledge.h"

namespace auburnyard {

/// Orders the usable replicas of a shard, best first. Targets in `tried` come
/// after the others.
using ReplicaOrder = std::function<std::vector<std::string>(
    const Shard& shard,
    const std::vector<std::string>& tried,
    TimePoint now)>;

/// Any order. The baseline; ignores load and failures.
ReplicaOrder MakeRandomOrder(std::shared_ptr<const TargetKnowledge> knowledge,
                             std::shared_ptr<RandomSource> random);
/// The better of two random replicas by own outstanding count plus the last
/// reported load, then the rest in random order.
ReplicaOrder MakeTwoChoiceOrder(
    std::shared_ptr<const TargetKnowledge> knowledge,
    std::shared_ptr<RandomSource> random);
/// By expected time to the result: delay to the target's domain, plus the
/// observed delay of the target for each round of work queued there. A remote
/// replica is chosen when its whole path is faster than the local queue.
/// Recently failed targets come last.
ReplicaOrder MakeOwnerOrder(std::shared_ptr<const TargetKnowledge> knowledge,
                            std::shared_ptr<RandomSource> random);

}  // namespace auburnyard

#endif  // AUBURNYARD_REPLICA_CHOICE_H_
