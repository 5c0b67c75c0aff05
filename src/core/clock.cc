#include "auburnyard/clock.h"

#include <ctime>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

// CLOCK_BOOTTIME includes the time that the machine was suspended, unlike
// std::chrono::steady_clock, so that a resumed host detects stale data and
// expired deadlines. Timers run on steady_clock and must therefore be armed
// with durations and not with these time points.
std::chrono::nanoseconds SinceBoot() {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return std::chrono::steady_clock::now().time_since_epoch();
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

TimePoint Clock::Now() const {
  return TimePoint(this->paused.load()
                       ? std::chrono::nanoseconds(this->paused_at_ns.load())
                       : SinceBoot());
}

void Clock::Pause() {
  this->paused_at_ns.store(SinceBoot().count());
  this->paused.store(true);
}

void Clock::Advance(Duration step) {
  if (!this->paused.load()) {
    throw Error(ErrorKind::kInternal,
                "cannot advance a clock that is not paused");
  }
  this->paused_at_ns.fetch_add(step.count());
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace auburnyard
