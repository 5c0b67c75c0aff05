#ifndef AUBURNYARD_PLANNER_H_
#define AUBURNYARD_PLANNER_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "auburnyard/configuration_store.h"
#include "auburnyard/intent.h"
#include "auburnyard/plan.h"

namespace auburnyard {

/// Busy slots by priority class of a service, in the order of `PriorityClass`.
using ServiceLoad = std::array<double, kPriorityClassCount>;

struct PlannerInput {
  std::shared_ptr<const Configuration> configuration;
  ConfigurationStore::CatalogTable catalogs;
  std::map<std::string, ServiceLoad, std::less<>> load;  ///< may be incomplete
};

/// Computes the plan of an intent that is stored in the configuration. Throws
/// Error(kBadRequest) if the intent names something that is not configured.
Plan ComputePlan(const PlannerInput& input, const Intent& intent);

/// Identifier of the plan for an intent on a base revision; the same on all
/// hosts.
std::string ComputePlanId(std::uint64_t base_revision, const Intent& intent);

/// The configuration with the intent's changes applied; revision and intents
/// are unchanged. Throws Error(kBadRequest) for names that are not configured.
Configuration ApplyIntent(const Configuration& configuration,
                          const Intent& intent);

}  // namespace auburnyard

#endif  // AUBURNYARD_PLANNER_H_
