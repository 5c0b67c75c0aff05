#ifndef AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_
#define AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "src/relay/store_codec.h"

namespace auburnyard {

/// Copy of the store's keys, for hosts that do not read the store themselves. A
/// change is never replaced by an older revision.
class StoreMirror {
 public:
  /// Replaces all keys by a complete read at `revision`. Ignores an older one.
  void Reset(std::span<const StoreItem> all, std::uint64_t revision);
  /// Applies changes that are complete up to `revision`.
  void Apply(std::span<const StoreItem> changes, std::uint64_t revision);
  /// Applies a change. Readers are notified of significant changes only; other
  /// ones reach them with the next significant change of the same key.
  void Put(const StoreItem& item, bool significant);
  /// Records that all changes up to `revision` have been applied.
  void Advance(std::uint64_t revision);

  /// True before the first read.
  bool empty() const { return this->current == 0; }
  std::uint64_t revision() const { return this->current; }
  /// Revision of the last significant change.
  std::uint64_t significant_revision() const {
    return this->last_significant_revision;
  }
  StorePage All() const;
  /// Changes after a revision; none if tombstones since then have been dropped.
  std::optional<StorePage> ChangesAfter(std::uint64_t after) const;

 private:
  struct Entry {
    StoreItem item;
    // Revision of the last significant change.
    std::uint64_t significant_revision = 0;
  };
  void DropOldTombstones();

  std::map<std::string, Entry, std::less<>> items;
  std::map<std::string, std::uint64_t, std::less<>>
      tombstones;  // revision by key
  std::uint64_t current = 0;
  std::uint64_t last_significant_revision = 0;
  // Tombstones before this revision may be missing.
  std::uint64_t history_start = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_
