#include "auburnyard/knowledge.h"

#include <algorithm>

namespace auburnyard {

Permission PermissionFor(KnowledgeAction action, std::optional<Duration> age) {
  const bool stale = !age || *age > kStaleAfter;
  switch (action) {
    case KnowledgeAction::kOwnDomainTarget:
    // The owner checks against its own configuration, of an equal or higher
    // revision, at dispatch.
    case KnowledgeAction::kRemoteOwner:
      return Permission::kAllowed;
    case KnowledgeAction::kNonIdempotent:
      return Permission::kAllowedIfClaimed;
    case KnowledgeAction::kRemoteTargetDirect:
    case KnowledgeAction::kConfirmPlan:
      return stale ? Permission::kRefused : Permission::kAllowed;
  }
  return Permission::kRefused;
}

void Knowledge::SetRevision(std::uint64_t revision) {
  const std::lock_guard lock(this->mutex);
  this->in_force = std::max(this->in_force, revision);
  this->newest = std::max(this->newest, this->in_force);
}

void Knowledge::Confirm(std::uint64_t revision, TimePoint at) {
  const std::lock_guard lock(this->mutex);
  this->newest = std::max(this->newest, revision);
  // A lower revision comes from a store with older contents; a higher one means
  // that the revision in force is outdated. Neither confirms it.
  if (revision != this->in_force || revision == 0) {
    return;
  }
  this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
}

void Knowledge::Learn(const KnowledgeReport& report, TimePoint requested_at) {
  this->Confirm(report.revision,
                requested_at - std::max(report.age, Duration::zero()));
}

std::uint64_t Knowledge::revision() const {
  const std::lock_guard lock(this->mutex);
  return this->in_force;
}

std::uint64_t Knowledge::newest_revision() const {
  const std::lock_guard lock(this->mutex);
  return this->newest;
}

std::optional<Duration> Knowledge::Age(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  if (!this->confirmed_at) {
    return std::nullopt;
  }
  return std::max(now - *this->confirmed_at, Duration::zero());
}

bool Knowledge::Stale(TimePoint now) const {
  const std::optional<Duration> age = this->Age(now);
  return !age || *age > kStaleAfter;
}

std::optional<KnowledgeReport> Knowledge::Report(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  if (!this->confirmed_at) {
    return std::nullopt;
  }
  return KnowledgeReport{this->in_force,
                         std::max(now - *this->confirmed_at, Duration::zero())};
}

}  // namespace auburnyard
