#include "auburnyard/cold_start.h"

#include <algorithm>

namespace auburnyard {

ColdStart::ColdStart(std::uint32_t limit) : cold_limit(limit), proven(limit) {}

std::uint32_t ColdStart::Window(std::uint32_t slots) const {
  return std::min(this->proven, slots);
}

void ColdStart::OnSuccess(std::uint64_t epoch, std::uint32_t slots) {
  if (epoch != this->current_epoch || !this->Cold(slots)) {
    return;
  }
  if (++this->epoch_successes <= this->warm_after) {
    return;
  }
  if (++this->successes >= this->proven) {
    this->successes = 0;
    ++this->proven;
  }
}

void ColdStart::Drop(std::uint32_t limit) {
  this->proven = limit;
  this->successes = 0;
  this->epoch_successes = 0;
  ++this->current_epoch;
}

void ColdStart::SetColdLimit(std::uint32_t limit, std::uint32_t slots) {
  // The hosts that share a cold target divide its cold limit, so a lower share
  // restarts the ramp. What a warm target has proven stays valid.
  if (limit < this->cold_limit && this->Cold(slots)) {
    this->proven = std::min(this->proven, limit);
    this->successes = 0;
  }
  this->proven = std::max(this->proven, limit);
  this->cold_limit = limit;
}

}  // namespace auburnyard
