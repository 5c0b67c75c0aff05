#ifndef AUBURNYARD_WINDOWED_MINIMUM_H_
#define AUBURNYARD_WINDOWED_MINIMUM_H_

#include <deque>
#include <optional>
#include <utility>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Smallest duration observed within the last `window`.
class WindowedMinimum {
 public:
  explicit WindowedMinimum(Duration window);

  void Add(Duration value, TimePoint now);
  /// Empty if the window holds no observation.
  std::optional<Duration> Get(TimePoint now) const;

 private:
  Duration window;
  // In increasing order of value and time; a value that is both larger and
  // older than another one can never become the minimum.
  std::deque<std::pair<TimePoint, Duration>> candidates;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_WINDOWED_MINIMUM_H_
