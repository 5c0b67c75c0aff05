#include "util/target_standin/cold_state.h"

#include <algorithm>

namespace auburnyard::util {

ColdState::ColdState(std::uint32_t limit,
                     std::uint32_t completions_to_warm,
                     bool start_cold)
    : cold_limit(limit),
      warm_after(completions_to_warm),
      periods(start_cold ? 1 : 0),
      is_cold(start_cold && completions_to_warm > 0) {}

void ColdState::BecomeCold() {
  this->is_cold = this->warm_after > 0;
  this->is_limit_exceeded = false;
  this->completions = 0;
  ++this->periods;
}

bool ColdState::OnArrival(std::uint32_t concurrency) {
  if (!this->is_cold) {
    return false;
  }
  this->peak_concurrency = std::max(this->peak_concurrency, concurrency);
  if (concurrency <= this->cold_limit) {
    return false;
  }
  ++this->violations;
  this->is_limit_exceeded = true;
  return true;
}

void ColdState::OnCompletion() {
  if (this->is_cold && ++this->completions >= this->warm_after) {
    this->is_cold = false;
    this->is_limit_exceeded = false;
  }
}

void ColdState::ResetRecords() {
  this->peak_concurrency = 0;
  this->violations = 0;
  this->periods = this->is_cold ? 1 : 0;
}

boost::json::object ColdState::ToJson() const {
  return {{"cold", this->is_cold},
          {"cold_limit", this->cold_limit},
          {"cold_peak", this->peak_concurrency},
          {"cold_violations", this->violations},
          {"cold_periods", this->periods}};
}

}  // namespace auburnyard::util
