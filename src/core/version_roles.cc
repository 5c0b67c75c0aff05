#include "auburnyard/version_roles.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace auburnyard {

namespace {

// Versions whose first targets started within this time were deployed together.
constexpr std::int64_t kSameStartMs = 1'000;

}  // namespace

// Without an order for them, versions are held back that were started beside
// older targets. The old versions are those with the earliest start; targets
// that drain count only if there are no others.
VersionRoles::VersionRoles(VersionPolicy version_policy,
                           std::span<const TargetVersion> targets)
    : policy(std::move(version_policy)) {
  if (this->policy.use == VersionUse::kAlike) {
    return;
  }
  const bool all_drain = std::all_of(
      targets.begin(), targets.end(), [this](const TargetVersion& target) {
        return target.draining || target.version == this->policy.target_version;
      });
  std::map<std::string_view, std::int64_t> first_start;
  std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
  for (const TargetVersion& target : targets) {
    if (target.version == this->policy.target_version) {
      this->new_registered = true;
      continue;
    }
    this->old_registered = true;
    if (target.draining && !all_drain) {
      continue;
    }
    const auto entry =
        first_start.emplace(target.version, target.started_at_ms).first;
    entry->second = std::min(entry->second, target.started_at_ms);
    earliest = std::min(earliest, target.started_at_ms);
  }
  for (const auto& [version, start] : first_start) {
    if (start - earliest <= kSameStartMs) {
      this->old_versions.emplace(version);
    }
  }
  if (this->policy.use == VersionUse::kNewOnly && !this->new_registered) {
    this->policy.use = VersionUse::kOldOnly;
  }
}

VersionRole VersionRoles::RoleOf(std::string_view version) const {
  if (this->policy.use == VersionUse::kAlike) {
    return VersionRole::kOld;
  }
  if (version == this->policy.target_version) {
    return VersionRole::kNew;
  }
  return this->old_versions.contains(version) ? VersionRole::kOld
                                              : VersionRole::kHeldBack;
}

bool VersionRoles::MayReceive(std::string_view version) const {
  const VersionRole role = this->RoleOf(version);
  switch (this->policy.use) {
    case VersionUse::kAlike:
      return true;
    case VersionUse::kOldOnly:
      return role == VersionRole::kOld;
    case VersionUse::kCanary:
      return role != VersionRole::kHeldBack;
    case VersionUse::kNewOnly:
      break;
  }
  return role == VersionRole::kNew;
}

}  // namespace auburnyard
