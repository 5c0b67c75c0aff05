#include "auburnyard/budget.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Allows for rounding errors in the sum of many small shares: ten shares of 0.1
// make one token.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

TokenBudget::TokenBudget(double initial_share)
    : share(initial_share), available(initial_share > 0 ? kReserve : 0) {}

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
  if (this->available + kRoundingTolerance < 1) {
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
