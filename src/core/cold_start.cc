#include "auburnyard/cold_start.h"

#include <algorithm>

namespace auburnyard {

ColdStart::ColdStart(std::uint32_t limit)
    : cold_limit(limit), ramp_window(limit) {}

std::uint32_t ColdStart::Window(std::uint32_t slots) const {
  return std::min(this->ramp_window, slots);
}

void ColdStart::OnSuccess(std::uint64_t epoch, std::uint32_t slots) {
  if (epoch != this->current_epoch || !this->IsCold(slots)) {
    return;
  }
  if (++this->epoch_successes <= this->warm_after) {
    return;
  }
  if (++this->round_successes >= this->ramp_window) {
    this->round_successes = 0;
    ++this->ramp_window;
  }
}

void ColdStart::Reset(std::uint32_t limit) {
  this->ramp_window = limit;
  this->round_successes = 0;
  this->epoch_successes = 0;
  ++this->current_epoch;
}

void ColdStart::SetColdLimit(std::uint32_t limit, std::uint32_t slots) {
  // Hosts that share a cold target divide its cold limit, so a lower share
  // restarts the ramp. The window of a warm target is kept.
  if (limit < this->cold_limit && this->IsCold(slots)) {
    this->ramp_window = std::min(this->ramp_window, limit);
    this->round_successes = 0;
  }
  this->ramp_window = std::max(this->ramp_window, limit);
  this->cold_limit = limit;
}

}  // namespace auburnyard
