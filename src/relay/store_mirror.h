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
/// change is never replaced by an older version, so by no older epoch.
class StoreMirror {
 public:
  /// Replaces all keys by a complete read at `version`. Ignores an older one.
  /// Only a read starts a new epoch.
  void Reset(std::span<const StoreItem> all, StoreVersion version);
  /// Applies changes that are complete up to `version`. Ignores them if they
  /// are of another epoch.
  void Apply(std::span<const StoreItem> changes, StoreVersion version);
  /// Applies a change of the current epoch. Readers are notified of significant
  /// changes only; other ones reach them with the next significant change of
  /// the same key.
  void Put(const StoreItem& item, bool significant);
  /// Records that all changes of the current epoch up to `revision` have been
  /// applied.
  void Advance(std::uint64_t revision);

  /// True before the first read.
  bool empty() const { return this->current == StoreVersion(); }
  std::uint64_t revision() const { return this->current.revision; }
  StoreVersion version() const { return this->current; }
  /// Revision of the last significant change.
  std::uint64_t significant_revision() const {
    return this->last_significant_revision;
  }
  /// Whether a reader that has all changes up to `known` waits for none here:
  /// there is no later significant one, and its epoch is this one.
  bool HasNothingAfter(StoreVersion known) const {
    return known.epoch == this->current.epoch &&
           this->last_significant_revision <= known.revision;
  }
  /// Whether a later change of the key is known, of the current epoch like the
  /// item.
  bool HasNewer(const StoreItem& item) const;
  StorePage All() const;
  /// Changes after a version; none if tombstones since then have been dropped,
  /// or if it is of another epoch.
  std::optional<StorePage> ChangesAfter(StoreVersion known) const;

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
  StoreVersion current;
  // In the current epoch, like all other revisions here.
  std::uint64_t last_significant_revision = 0;
  // Tombstones before this revision may be missing.
  std::uint64_t history_start = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_
