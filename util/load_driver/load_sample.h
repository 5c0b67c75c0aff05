#ifndef AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_SAMPLE_H_
#define AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_SAMPLE_H_

#include <string>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Outcome of one request of a load run.
struct LoadSample {
  Duration offset{};     ///< intended start, from the beginning of the run
  Duration latency{};    ///< from the intended start
  Duration start_lag{};  ///< delay of the actual start
  std::string service;
  std::string priority;
  std::string host;
  std::string refusal;  ///< error kind; empty if answered
  double coverage = 0.0;
  bool wrong = false;  ///< the answer contains results of another request
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_SAMPLE_H_
