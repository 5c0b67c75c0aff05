#include "util/target_standin/latency_source.h"

#include <cmath>

namespace auburnyard::util {

LatencySource::LatencySource(const LatencyOptions& latency_options,
                             std::uint64_t seed)
    : options(latency_options), random(seed) {}

Duration LatencySource::Next() {
  const double normal = std::normal_distribution<double>()(this->random);
  const double uniform = std::uniform_real_distribution<double>()(this->random);
  double milliseconds =
      this->options.median_ms * std::exp(this->options.sigma * normal);
  if (uniform < this->options.slow_share) {
    milliseconds *= this->options.slow_factor;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace auburnyard::util
