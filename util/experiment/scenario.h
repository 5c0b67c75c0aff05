#ifndef AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_
#define AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "util/experiment/cluster.h"

namespace auburnyard::util {

/// An action that runs after the fraction `at` of the load duration.
struct ScenarioStep {
  double at;
  std::function<void(Cluster&)> run;
};

/// A load and fault sequence under which policies are compared.
struct Scenario {
  std::string_view name;
  double rate_factor = 1.0;
  bool all_classes = false;
  std::vector<ScenarioStep> steps;
};

std::span<const Scenario> AllScenarios();

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_SCENARIO_H_
