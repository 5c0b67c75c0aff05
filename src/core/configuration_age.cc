#include "auburnyard/configuration_age.h"

#include <algorithm>

namespace auburnyard {

Permission PermissionFor(AgeDependentAction action,
                         std::optional<Duration> age) {
  const bool stale = !age || *age > kStaleAfter;
  switch (action) {
    case AgeDependentAction::kOwnDomainTarget:
    // The owner checks against its own configuration, of an equal or higher
    // revision, at dispatch.
    case AgeDependentAction::kRemoteOwner:
      return Permission::kAllowed;
    case AgeDependentAction::kNonIdempotent:
      return Permission::kAllowedIfClaimed;
    case AgeDependentAction::kRemoteTargetDirect:
    case AgeDependentAction::kConfirmPlan:
      return stale ? Permission::kRefused : Permission::kAllowed;
  }
  return Permission::kRefused;
}

void ConfigurationAge::SetRevision(std::uint64_t revision) {
  const std::lock_guard lock(this->mutex);
  this->in_force = std::max(this->in_force, revision);
  this->newest = std::max(this->newest, this->in_force);
}

void ConfigurationAge::Confirm(std::uint64_t revision, TimePoint at) {
  const std::lock_guard lock(this->mutex);
  this->newest = std::max(this->newest, revision);
  // A lower revision comes from a store with older contents; a higher one means
  // that the revision in force is outdated. Neither confirms it.
  if (revision != this->in_force || revision == 0) {
    return;
  }
  this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
}

void ConfigurationAge::ApplyReport(const ConfigurationAgeReport& report,
                                   TimePoint requested_at) {
  this->Confirm(report.revision,
                requested_at - std::max(report.age, Duration::zero()));
}

std::uint64_t ConfigurationAge::revision() const {
  const std::lock_guard lock(this->mutex);
  return this->in_force;
}

std::uint64_t ConfigurationAge::newest_revision() const {
  const std::lock_guard lock(this->mutex);
  return this->newest;
}

std::optional<Duration> ConfigurationAge::Age(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  if (!this->confirmed_at) {
    return std::nullopt;
  }
  return std::max(now - *this->confirmed_at, Duration::zero());
}

bool ConfigurationAge::Stale(TimePoint now) const {
  const std::optional<Duration> age = this->Age(now);
  return !age || *age > kStaleAfter;
}

std::optional<ConfigurationAgeReport> ConfigurationAge::Report(
    TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  if (!this->confirmed_at) {
    return std::nullopt;
  }
  return ConfigurationAgeReport{
      this->in_force, std::max(now - *this->confirmed_at, Duration::zero())};
}

}  // namespace auburnyard
