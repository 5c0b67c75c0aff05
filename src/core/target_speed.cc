#include "auburnyard/target_speed.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Of the replies that follow a raised figure, the share that is raised again
// fell about linearly with its age, from all at 25 ms to the usual 12% at
// 450 ms.
constexpr std::chrono::milliseconds kFigureValidity{450};
// Number of figures that the learned factor covers. The usual factor counts as
// the first few, so that a raised figure after a start has little effect.
constexpr std::uint32_t kAveragedFigures = 32;
constexpr std::uint32_t kPriorFigures = 3;
// Bounds the effect of raised figures, 2.5 or 11 times the steady ones, on the
// learned factor.
constexpr double kMaxRaise = 1.5;
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 20;

}  // namespace

void TargetSpeed::Add(std::uint32_t percent, TimePoint now) {
  this->last = std::clamp(percent / 100.0, kMinFactor, kMaxFactor);
  this->count = std::min(this->count + 1, kAveragedFigures);
  this->base += (std::min(this->last, this->base * kMaxRaise) - this->base) /
                (this->count + kPriorFigures);
  this->updated = now;
}

double TargetSpeed::At(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - this->updated) /
                     std::chrono::duration<double>(kFigureValidity);
  return this->base + (this->last - this->base) * std::max(0.0, 1 - age);
}

}  // namespace auburnyard
