#ifndef AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_
#define AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "util/experiment/cluster.h"

namespace auburnyard::util {

/// A change at a fraction of the duration of the load.
struct ScenarioStep {
  double at;
  std::function<void(Cluster&)> run;
};

/// One situation that policies are compared in.
struct Scenario {
  std::string_view name;
  double rate_factor = 1.0;
  bool all_classes = false;
  std::vector<ScenarioStep> steps;
};

std::span<const Scenario> AllScenarios();

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_
