#ifndef AUBURNYARD_TEST_VIRTUAL_TIME_H_
#define AUBURNYARD_TEST_VIRTUAL_TIME_H_

#include <chrono>
#include <functional>
#include <map>

#include "auburnyard/clock.h"

namespace auburnyard::test {

/// Timers over a paused clock, run in the order of their times.
class VirtualTime {
 public:
  VirtualTime() { this->clock.Pause(); }

  void Schedule(std::chrono::milliseconds delay, std::function<void()> run) {
    this->timers.emplace(this->clock.Now() + delay, std::move(run));
  }
  void Run(std::chrono::milliseconds duration) {
    const TimePoint end = this->clock.Now() + duration;
    while (!this->timers.empty() && this->timers.begin()->first <= end) {
      const auto timer = this->timers.extract(this->timers.begin());
      this->AdvanceTo(timer.key());
      timer.mapped()();
    }
    this->AdvanceTo(end);
  }

  Clock clock;

 private:
  void AdvanceTo(TimePoint time) {
    if (time > this->clock.Now()) {
      this->clock.Advance(time - this->clock.Now());
    }
  }

  std::multimap<TimePoint, std::function<void()>> timers;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_VIRTUAL_TIME_H_
