#ifndef AUBURNYARD_PLACEMENT_H_
#define AUBURNYARD_PLACEMENT_H_

#include "auburnyard/target_state.h"

namespace auburnyard {

/// What the choice of a target depends on besides the target.
struct PlacementNeeds {
  /// Estimate for the kind of request; null: not known.
  const WorkEstimate* work = nullptr;
  /// Latency objective of the request; zero: as early as possible.
  Duration objective{};
};

/// Cost by which a target of another region must be better than one of the own
/// region. Answers the load on links between regions: within the objective, an
/// earlier reply gains the caller nothing.
Duration FarMargin(const PlacementNeeds& needs);

/// Cost of placing a request at the target; the target with the lowest cost is
/// chosen. Answers targets that are slow, pause, have long queues or no free
/// connection (TargetState::Cost).
Duration PlacementCost(const TargetState& target,
                       const PlacementNeeds& needs,
                       TimePoint now);

}  // namespace auburnyard

#endif  // AUBURNYARD_PLACEMENT_H_
