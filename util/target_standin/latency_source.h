#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_LATENCY_SOURCE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_LATENCY_SOURCE_H_

#include <random>

#include "auburnyard/clock.h"
#include "util/target_standin/target_options.h"

namespace auburnyard::util {

/// Seeded random source of execution times.
class LatencySource {
 public:
  LatencySource(const LatencyOptions& options, std::uint64_t seed);

  Duration Next();
  void SetOptions(const LatencyOptions& changed) { this->options = changed; }
  const LatencyOptions& current() const { return this->options; }

 private:
  LatencyOptions options;
  std::mt19937_64 random;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_LATENCY_SOURCE_H_
