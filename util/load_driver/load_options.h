#ifndef AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_OPTIONS_H_
#define AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnyard::util {

using Weights = std::vector<std::pair<std::string, double>>;

/// Options of an open-loop load run.
struct LoadOptions {
  std::vector<std::string> hosts;  ///< IP:port of entry hosts
  Weights services;
  Weights classes = {{"normal", 1.0}};
  double rate = 50.0;  ///< requests per second over all hosts
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds deadline{1'000};
  double min_coverage = 0.0;
  std::uint64_t seed = 1;
};

/// Parses "name=weight,name=weight"; a missing weight is 1. Throws
/// Error(kBadSettings).
Weights ParseWeights(std::string_view text);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_OPTIONS_H_
