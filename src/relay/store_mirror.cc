#include "src/relay/store_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnyard {

namespace {

// Almost all of them are lapsed registrations of targets and hosts.
constexpr std::size_t kMaxTombstones = 1'024;

}  // namespace

// Within an epoch, readers receive only the difference; otherwise a store that
// loses its history would make every host of the domain read all keys. In a new
// epoch they read all: one of them may have keys of the older epoch that were
// never received here, so that no tombstone would remove them.
void StoreMirror::Reset(std::span<const StoreItem> all, StoreVersion version) {
  if (version < this->current) {
    return;
  }
  const std::uint64_t revision = version.revision;
  if (version.epoch > this->current.epoch) {
    this->items.clear();
    this->tombstones.clear();
    this->current = {.epoch = version.epoch};
    this->history_start = revision;
    this->last_significant_revision = revision;
  } else if (this->empty()) {
    this->history_start = revision;
    this->last_significant_revision = revision;
  }
  std::set<std::string_view> present;
  for (const StoreItem& item : all) {
    present.insert(item.key);
  }
  std::vector<std::string> gone;
  for (const auto& [key, entry] : this->items) {
    if (!present.contains(key)) {
      gone.push_back(key);
    }
  }
  for (std::string& key : gone) {
    this->Put({.key = std::move(key), .revision = revision, .removed = true},
              /*significant=*/true);
  }
  for (const StoreItem& item : all) {
    this->Put(item, /*significant=*/true);
  }
  this->Advance(revision);
}

void StoreMirror::Put(const StoreItem& item, bool significant) {
  const auto entry = this->items.find(item.key);
  if (entry != this->items.end() &&
      entry->second.item.revision >= item.revision) {
    return;
  }
  const auto removed = this->tombstones.find(item.key);
  if (removed != this->tombstones.end()) {
    if (removed->second >= item.revision) {
      return;
    }
    this->tombstones.erase(removed);
  }
  if (item.removed) {
    this->tombstones[item.key] = item.revision;
    this->items.erase(item.key);
  } else if (entry != this->items.end() && !significant) {
    entry->second.item = item;
    return;
  } else {
    this->items[item.key] = {.item = item,
                             .significant_revision = item.revision};
  }
  this->last_significant_revision =
      std::max(this->last_significant_revision, item.revision);
}

void StoreMirror::Apply(std::span<const StoreItem> changes,
                        StoreVersion version) {
  if (version.epoch != this->current.epoch) {
    return;
  }
  for (const StoreItem& item : changes) {
    this->Put(item, /*significant=*/true);
  }
  this->Advance(version.revision);
}

bool StoreMirror::HasNewer(const StoreItem& item) const {
  const auto entry = this->items.find(item.key);
  const auto removed = this->tombstones.find(item.key);
  return (entry != this->items.end() &&
          entry->second.item.revision > item.revision) ||
         (removed != this->tombstones.end() && removed->second > item.revision);
}

void StoreMirror::Advance(std::uint64_t revision) {
  this->current.revision = std::max(this->current.revision, revision);
  this->DropOldTombstones();
}

void StoreMirror::DropOldTombstones() {
  while (this->tombstones.size() > kMaxTombstones) {
    const auto oldest =
        std::min_element(this->tombstones.begin(), this->tombstones.end(),
                         [](const auto& left, const auto& right) {
                           return left.second < right.second;
                         });
    this->history_start = std::max(this->history_start, oldest->second);
    this->tombstones.erase(oldest);
  }
}

StorePage StoreMirror::All() const {
  StorePage page;
  page.revision = this->current.revision;
  page.epoch = this->current.epoch;
  for (const auto& [key, entry] : this->items) {
    page.items.push_back(entry.item);
  }
  return page;
}

std::optional<StorePage> StoreMirror::ChangesAfter(StoreVersion known) const {
  const std::uint64_t after = known.revision;
  if (known.epoch != this->current.epoch || after < this->history_start) {
    return std::nullopt;
  }
  StorePage page;
  page.revision = this->current.revision;
  page.epoch = this->current.epoch;
  for (const auto& [key, entry] : this->items) {
    if (entry.significant_revision > after) {
      page.items.push_back(entry.item);
    }
  }
  for (const auto& [key, revision] : this->tombstones) {
    if (revision > after) {
      page.items.push_back({.key = key, .revision = revision, .removed = true});
    }
  }
  std::sort(page.items.begin(), page.items.end(),
            [](const StoreItem& left, const StoreItem& right) {
              return left.revision < right.revision;
            });
  return page;
}

}  // namespace auburnyard
