#include "auburnyard/clock.h"

#include "auburnyard/error.h"

namespace auburnyard {

// steady_clock keeps counting while the process is stopped by a signal, so a
// pause of the process counts as elapsed time in every time-out and age that is
// computed from it.
TimePoint Clock::Now() const {
  if (this->paused.load()) {
    return TimePoint(std::chrono::nanoseconds(this->paused_at_ns.load()));
  }
  return std::chrono::steady_clock::now();
}

void Clock::Pause() {
  this->paused_at_ns.store(
      std::chrono::steady_clock::now().time_since_epoch().count());
  this->paused.store(true);
}

void Clock::Advance(Duration step) {
  if (!this->paused.load()) {
    throw Error(ErrorKind::kInternal, "a running clock cannot be advanced");
  }
  this->paused_at_ns.fetch_add(step.count());
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace auburnyard
