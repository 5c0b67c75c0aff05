#include "auburnyard/restriction_table.h"

#include <algorithm>

namespace auburnyard {

namespace {

// A peer may still hold a restriction that has ended here, by the time that
// messages take. Without this memory two hosts could keep it alive.
constexpr std::size_t kRememberedEnds = 1024;

}  // namespace

RestrictionTable::Table::iterator RestrictionTable::End(Table::iterator entry) {
  this->ended.push_back(entry->first);
  if (this->ended.size() > kRememberedEnds) {
    this->ended.pop_front();
  }
  return this->held.erase(entry);
}

void RestrictionTable::DropExpired(TimePoint now) {
  for (auto entry = this->held.begin(); entry != this->held.end();) {
    entry = entry->second.expires <= now ? this->End(entry) : std::next(entry);
  }
}

bool RestrictionTable::Take(const Restriction& restriction, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  const TimePoint expires =
      now + std::min<Duration>(restriction.remaining, kMaxRestriction);
  if (restriction.base_revision < this->in_force || expires <= now ||
      std::find(this->ended.begin(), this->ended.end(), restriction.id) !=
          this->ended.end()) {
    return false;
  }
  const auto found = this->held.find(restriction.id);
  if (found == this->held.end()) {
    return this->held.size() < kMaxRestrictions &&
           this->held.emplace(restriction.id, Held{restriction, expires})
               .second;
  }
  // The shorter time is the one with less delay of messages in it.
  if (expires >= found->second.expires) {
    return false;
  }
  found->second.expires = expires;
  return true;
}

void RestrictionTable::SetRevision(std::uint64_t revision) {
  const std::lock_guard lock(this->mutex);
  this->in_force = std::max(this->in_force, revision);
  for (auto entry = this->held.begin(); entry != this->held.end();) {
    entry = entry->second.restriction.base_revision < this->in_force
                ? this->End(entry)
                : std::next(entry);
  }
}

bool RestrictionTable::Forbids(std::string_view domain, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  return std::any_of(this->held.begin(), this->held.end(),
                     [domain](const Table::value_type& entry) {
                       return entry.second.restriction.domain == domain;
                     });
}

std::vector<Restriction> RestrictionTable::List(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  std::vector<Restriction> list;
  for (const auto& [id, entry] : this->held) {
    list.push_back(entry.restriction);
    list.back().remaining = entry.expires - now;
  }
  return list;
}

}  // namespace auburnyard
