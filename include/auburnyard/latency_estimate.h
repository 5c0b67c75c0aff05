#ifndef AUBURNYARD_LATENCY_ESTIMATE_H_
#define AUBURNYARD_LATENCY_ESTIMATE_H_

#include "auburnyard/clock.h"

namespace auburnyard {

/// Moving mean and mean deviation of one target's latency. Starts from a prior,
/// and returns to it while there are no observations, because an old bad
/// episode says nothing about the present.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration prior);

  void Add(Duration latency, TimePoint now);
  Duration Mean(TimePoint now) const;
  /// Latency that few requests exceed.
  Duration Upper(TimePoint now) const;
  /// Shortest latency seen lately: the distance plus a short execution.
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
