#ifndef AUBURNYARD_SHEDDER_H_
#define AUBURNYARD_SHEDDER_H_

#include <array>
#include <chrono>
#include <vector>

#include "auburnyard/configuration.h"
#include "auburnyard/wait_queue.h"
#include "auburnyard/windowed_minimum.h"

namespace auburnyard {

/// Maximum standing queue delay of each priority class, highest class first.
using ShedBounds = std::array<Duration, kPriorityClassCount>;

/// Decides by the standing queue delay whether new requests of a class are
/// shed.
class Shedder {
 public:
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  explicit Shedder(const ShedBounds& bounds);

  void SetBounds(const ShedBounds& shed_bounds) { this->bounds = shed_bounds; }
  /// Records how long a request waited in the queue before its start.
  void OnStart(PriorityClass priority, Duration delay, TimePoint now);
  /// Returns true if the queue delay of the class, or of a higher one, exceeded
  /// its bound during the entire window.
  bool ShouldShed(PriorityClass priority,
                  const WaitQueue& queue,
                  TimePoint now) const;

 private:
  bool ExceedsBound(PriorityClass priority,
                    const WaitQueue& queue,
                    TimePoint now) const;

  ShedBounds bounds;
  std::array<WindowedMinimum, kPriorityClassCount> delays;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SHEDDER_H_
