#ifndef AUBURNYARD_CLOCK_H_
#define AUBURNYARD_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>

namespace auburnyard {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Monotonic clock. Tests can pause and advance it; a paused clock only moves
/// by `Advance`.
class Clock {
 public:
  TimePoint Now() const;
  void Pause();
  /// Moves a paused clock forward. Throws Error(kInternal) if it is not paused.
  void Advance(Duration step);

 private:
  std::atomic<bool> paused{false};
  std::atomic<std::int64_t> paused_at_ns{0};
};

/// Milliseconds as a floating-point number, for reports.
double ToMilliseconds(Duration duration);

}  // namespace auburnyard

#endif  // AUBURNYARD_CLOCK_H_
