#include "auburnyard/repeat_budget.h"

namespace auburnyard {

namespace {

// The window is divided into slices. Repeats are summed over one slice more
// than requests, so that rounding to slices never allows too many repeats.
constexpr std::size_t kSlices = 20;
// Margin, because requests of different hosts arrive at different times of the
// window.
constexpr double kRatioSafetyFactor = 0.9;

}  // namespace

RepeatBudget::RepeatBudget(RepeatBudgetLimits initial)
    : limits(initial), slices(kSlices + 1) {}

void RepeatBudget::SetLimits(RepeatBudgetLimits new_limits) {
  this->limits = new_limits;
}

RepeatBudget::Slice& RepeatBudget::SliceAt(TimePoint now) {
  const std::int64_t number =
      now.time_since_epoch() / (this->limits.window / kSlices);
  Slice& slice =
      this->slices.at(static_cast<std::size_t>(number) % this->slices.size());
  if (slice.number != number) {
    slice = {.number = number};
  }
  return slice;
}

void RepeatBudget::OnRequest(TimePoint now, double share) {
  this->SliceAt(now).requests += share;
}

bool RepeatBudget::Take(TimePoint now, double reserve) {
  Slice& current = this->SliceAt(now);
  const auto size = static_cast<std::int64_t>(this->slices.size());
  double requests = 0;
  std::uint32_t repeats = 0;
  for (const Slice& slice : this->slices) {
    if (slice.number <= current.number - size) {
      continue;
    }
    repeats += slice.repeats;
    if (slice.number > current.number - size + 1) {
      requests += slice.requests;
    }
  }
  const double allowed = (this->limits.ratio * kRatioSafetyFactor * requests +
                          this->limits.burst) *
                         (1 - reserve);
  if (repeats + 1 > allowed) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace auburnyard
