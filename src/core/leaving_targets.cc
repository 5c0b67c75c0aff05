#include "auburnyard/leaving_targets.h"

#include <utility>

namespace auburnyard {

namespace {

// A store restored from an older copy, or a mirror that lags, may bring back a
// registration some minutes after it was removed.
constexpr std::chrono::minutes kRetention{10};

}  // namespace

bool LeavingTargets::Add(TargetIncarnation incarnation, TimePoint now) {
  return this->forget_at.emplace(std::move(incarnation), now + kRetention)
      .second;
}

bool LeavingTargets::Contains(const TargetIncarnation& incarnation) const {
  return this->forget_at.contains(incarnation);
}

void LeavingTargets::Retain(const TargetIncarnation& incarnation) {
  const auto found = this->forget_at.find(incarnation);
  if (found != this->forget_at.end()) {
    found->second = TimePoint::max();
  }
}

void LeavingTargets::Release(const TargetIncarnation& incarnation,
                             TimePoint now) {
  const auto found = this->forget_at.find(incarnation);
  if (found != this->forget_at.end()) {
    found->second = now + kRetention;
  }
}

void LeavingTargets::Expire(TimePoint now) {
  std::erase_if(this->forget_at,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace auburnyard
