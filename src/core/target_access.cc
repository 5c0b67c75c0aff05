#include "auburnyard/target_access.h"

#include <array>

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, 6> kNames = {
    "allowed", "draining", "leaving", "evacuated", "held_back", "other_region"};

}  // namespace

std::string_view ToString(TargetAccess access) {
  return kNames.at(static_cast<std::size_t>(access));
}

TargetAccess DecideAccess(const TargetAccessFacts& facts) {
  if (facts.draining) {
    return TargetAccess::kDraining;
  }
  if (facts.leaving) {
    return TargetAccess::kLeaving;
  }
  if (facts.domain_evacuated) {
    return TargetAccess::kEvacuated;
  }
  if (!facts.version_in_use) {
    return TargetAccess::kHeldBack;
  }
  return facts.region_allowed ? TargetAccess::kAllowed
                              : TargetAccess::kOtherRegion;
}

}  // namespace auburnyard
