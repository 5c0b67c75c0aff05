#include "auburnyard/shedder.h"

#include <optional>

namespace auburnyard {

Shedder::Shedder(const ShedBounds& shed_bounds)
    : bounds(shed_bounds),
      delays{WindowedMinimum(kWindow), WindowedMinimum(kWindow),
             WindowedMinimum(kWindow)} {}

void Shedder::OnStart(PriorityClass priority, Duration delay, TimePoint now) {
  this->delays[static_cast<std::size_t>(priority)].Add(delay, now);
}

bool Shedder::ShouldShed(PriorityClass priority,
                         const WaitQueue& queue,
                         TimePoint now) const {
  // A class is also shed while a higher class exceeds its bound, so that lower
  // classes are always shed first.
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    if (this->ExceedsBound(static_cast<PriorityClass>(i), queue, now)) {
      return true;
    }
  }
  return false;
}

bool Shedder::ExceedsBound(PriorityClass priority,
                           const WaitQueue& queue,
                           TimePoint now) const {
  const auto index = static_cast<std::size_t>(priority);
  std::optional<Duration> delay = this->delays[index].Get(now);
  if (!delay) {
    // No request of the class started within the window. The wait of its oldest
    // request counts once it is as long as the window.
    const std::optional<TimePoint> oldest = queue.OldestArrival(priority);
    if (!oldest || now - *oldest < kWindow) {
      return false;
    }
    delay = now - *oldest;
  }
  return *delay > this->bounds[index];
}

}  // namespace auburnyard
