#ifndef AUBURNYARD_LATENCY_ESTIMATE_H_
#define AUBURNYARD_LATENCY_ESTIMATE_H_

#include "auburnyard/clock.h"

namespace auburnyard {

/// Moving mean and mean deviation of one target's latency. Starts from a prior
/// and returns to it when observations become stale, so that a past slow period
/// does not affect later requests.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration prior);

  void Add(Duration latency, TimePoint now);
  Duration Mean(TimePoint now) const;
  /// Estimated upper bound that few requests exceed.
  Duration Upper(TimePoint now) const;
  /// Minimum of the recently observed latencies: network round trip plus a
  /// short execution.
  Duration Floor() const;

 private:
  bool Stale(TimePoint now) const;

  Duration prior;
  Duration mean;
  Duration deviation;
  Duration floor;
  TimePoint updated{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_LATENCY_ESTIMATE_H_
