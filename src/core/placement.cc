#include "auburnyard/placement.h"

namespace auburnyard {

namespace {

// Share of the objective that a reply of the own region may take longer.
constexpr int kFarMarginDivisor = 8;

}  // namespace

Duration FarMargin(const PlacementNeeds& needs) {
  return needs.objective / kFarMarginDivisor;
}

Duration PlacementCost(const TargetState& target,
                       const PlacementNeeds& needs,
                       TimePoint now) {
  const Duration cost = target.Cost(now, needs.work);
  return target.distance() == Distance::kOtherRegion ? cost + FarMargin(needs)
                                                     : cost;
}

}  // namespace auburnyard
