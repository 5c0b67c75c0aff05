#ifndef AUBURNYARD_LATENCY_TRACKER_H_
#define AUBURNYARD_LATENCY_TRACKER_H_

#include <memory>
#include <optional>

#include "auburnyard/clock.h"
#include "auburnyard/configuration.h"

namespace auburnyard {

/// Estimates quantiles of the sub-request latency of one service. The weight of
/// an observation halves every `half_life`. Thread-safe.
class LatencyTracker {
 public:
  explicit LatencyTracker(Duration half_life = std::chrono::seconds(10));
  ~LatencyTracker();
  LatencyTracker(const LatencyTracker&) = delete;
  LatencyTracker& operator=(const LatencyTracker&) = delete;

  void Add(Duration latency, TimePoint now);
  /// Returns the upper bound of the histogram bin of the quantile, within 10%
  /// of the exact value. Empty if the observations have too little weight.
  std::optional<Duration> Quantile(double fraction, TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Returns the delay after which a sub-request is hedged: the configured delay,
/// otherwise the observed 95% quantile, otherwise zero, which disables hedging.
Duration HedgeDelay(const ServiceConfig& service,
                    const LatencyTracker& tracker,
                    TimePoint now);

}  // namespace auburnyard

#endif  // AUBURNYARD_LATENCY_TRACKER_H_
