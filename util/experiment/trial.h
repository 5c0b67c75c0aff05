#ifndef AUBURNYARD_UTIL_EXPERIMENT_TRIAL_H_
#define AUBURNYARD_UTIL_EXPERIMENT_TRIAL_H_

#include <chrono>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "util/experiment/scenario.h"
#include "util/load_driver/load_sample.h"

namespace auburnyard::util {

struct TrialOptions {
  ClusterOptions cluster;
  std::string shape = "booking";
  double rate = 30;
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds deadline{500};
  int repeat = 0;
};

struct TrialResult {
  boost::json::object report;
  std::vector<LoadSample> samples;
};

/// Runs one scenario with one policy on a new cluster.
TrialResult RunTrial(const Scenario& scenario, const TrialOptions& options);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_TRIAL_H_
