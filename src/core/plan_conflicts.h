#ifndef AUBURNYARD_SRC_CORE_PLAN_CONFLICTS_H_
#define AUBURNYARD_SRC_CORE_PLAN_CONFLICTS_H_

#include <vector>

#include "auburnyard/intent.h"
#include "auburnyard/plan.h"

namespace auburnyard::detail {

/// Other intents, and states in the configuration, that contradict the intent.
std::vector<PlanConflict> FindConflicts(const Configuration& configuration,
                                        const Intent& intent);

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_PLAN_CONFLICTS_H_
