#include "auburnyard/pause_guard.h"

namespace auburnyard {

namespace {

// Ticks are late by less than this on a busy host.
constexpr std::chrono::milliseconds kLongestGap{400};
// Messages that arrived during a pause are read from their queues within this
// time after it.
constexpr std::chrono::seconds kDrainTime{1};

}  // namespace

PauseGuard::PauseGuard(TimePoint now)
    : last_tick(now), pause_begin(now), distrust_until(now) {}

void PauseGuard::Detect(TimePoint now) {
  if (now - this->last_tick <= kLongestGap) {
    return;
  }
  if (now >= this->distrust_until) {
    this->pause_begin = this->last_tick;
  }
  this->distrust_until = now + kDrainTime;
}

void PauseGuard::Tick(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->Detect(now);
  this->last_tick = now;
}

TimePoint PauseGuard::SentAfter(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->Detect(now);
  return now < this->distrust_until ? this->pause_begin : this->last_tick;
}

}  // namespace auburnyard
