#include "auburnyard/budget.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Allows for the rounding of many small shares, so that for example ten
// shares of 0.1 buy a token.
constexpr double kTolerance = 1e-6;

}  // namespace

TokenBudget::TokenBudget(double earned_share)
    : share(earned_share), available(earned_share > 0 ? kReserve : 0) {}

void TokenBudget::SetShare(double new_share) {
  const std::lock_guard lock(this->mutex);
  if (new_share <= 0) {
    this->available = 0;
  } else if (this->share <= 0) {
    this->available = kReserve;
  }
  this->share = new_share;
}

void TokenBudget::OnFirstAttempt() {
  const std::lock_guard lock(this->mutex);
  this->available =
      std::min(kCapacity, this->available + std::max(0.0, this->share));
}

bool TokenBudget::Take() {
  const std::lock_guard lock(this->mutex);
  if (this->available + kTolerance < 1) {
    return false;
  }
  this->available = std::max(0.0, this->available - 1);
  return true;
}

double TokenBudget::tokens() const {
  const std::lock_guard lock(this->mutex);
  return this->available;
}

}  // namespace auburnyard
