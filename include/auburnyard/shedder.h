#ifndef AUBURNYARD_SHEDDER_H_
#define AUBURNYARD_SHEDDER_H_

#include <array>
#include <chrono>
#include <vector>

#include "auburnyard/configuration.h"
#include "auburnyard/wait_queue.h"
#include "auburnyard/windowed_minimum.h"

namespace auburnyard {

/// Largest standing queue delay for each priority class, highest class first.
using ShedBounds = std::array<Duration, kPriorityClassCount>;

/// Decides from the queue delay whether new requests of a class are refused.
class Shedder {
 public:
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  explicit Shedder(const ShedBounds& bounds);

  void SetBounds(const ShedBounds& shed_bounds) { this->bounds = shed_bounds; }
  /// Records how long a request waited until its start.
  void OnStart(PriorityClass priority, Duration delay, TimePoint now);
  /// True if the class, or a higher one, was over its bound for the whole
  /// window.
  bool Sheds(PriorityClass priority,
             const WaitQueue& queue,
             TimePoint now) const;

 private:
  bool OverBound(PriorityClass priority,
                 const WaitQueue& queue,
                 TimePoint now) const;

  ShedBounds bounds;
  std::array<WindowedMinimum, kPriorityClassCount> delays;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SHEDDER_H_
