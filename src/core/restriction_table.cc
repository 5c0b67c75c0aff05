#include "auburnyard/restriction_table.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Identifiers of ended restrictions that are kept. A peer may still hold a
// restriction that has ended here, because of message delays; without these
// identifiers two hosts could renew it for each other indefinitely.
constexpr std::size_t kMaxEndedIds = 1024;

}  // namespace

RestrictionTable::Table::iterator RestrictionTable::EndRestriction(
    Table::iterator entry) {
  this->ended_ids.push_back(entry->first);
  if (this->ended_ids.size() > kMaxEndedIds) {
    this->ended_ids.pop_front();
  }
  return this->entries.erase(entry);
}

void RestrictionTable::DropExpired(TimePoint now) {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    entry = entry->second.expires <= now ? this->EndRestriction(entry)
                                         : std::next(entry);
  }
}

bool RestrictionTable::Add(const Restriction& restriction, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  const TimePoint expires =
      now + std::min<Duration>(restriction.remaining, kMaxRestrictionTime);
  if (restriction.base_revision < this->revision_in_force || expires <= now ||
      std::find(this->ended_ids.begin(), this->ended_ids.end(),
                restriction.id) != this->ended_ids.end()) {
    return false;
  }
  const auto found = this->entries.find(restriction.id);
  if (found == this->entries.end()) {
    return this->entries.size() < kMaxRestrictions &&
           this->entries.emplace(restriction.id, Entry{restriction, expires})
               .second;
  }
  // Message delays postpone the expiry, so the earlier one is more accurate.
  if (expires >= found->second.expires) {
    return false;
  }
  found->second.expires = expires;
  return true;
}

void RestrictionTable::SetRevision(std::uint64_t revision) {
  const std::lock_guard lock(this->mutex);
  this->revision_in_force = std::max(this->revision_in_force, revision);
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    entry = entry->second.restriction.base_revision < this->revision_in_force
                ? this->EndRestriction(entry)
                : std::next(entry);
  }
}

bool RestrictionTable::Forbids(std::string_view domain, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [domain](const Table::value_type& entry) {
                       return entry.second.restriction.domain == domain;
                     });
}

std::vector<Restriction> RestrictionTable::List(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  std::vector<Restriction> list;
  for (const auto& [id, entry] : this->entries) {
    list.push_back(entry.restriction);
    list.back().remaining = entry.expires - now;
  }
  return list;
}

}  // namespace auburnyard
