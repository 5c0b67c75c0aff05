#ifndef AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_
#define AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "src/relay/store_wire.h"

namespace auburnyard {

/// Keys of the store as this host last saw them, for hosts that the store does
/// not serve. A revision that was seen is never given up for an older one.
class StoreMirror {
 public:
  /// Replaces all keys by a complete read at `revision`.
  void Reset(std::span<const StoreItem> all, std::uint64_t revision);
  /// Takes over changes that reach up to `revision`.
  void Apply(std::span<const StoreItem> changes, std::uint64_t revision);
  /// Takes over a change. Readers are told only of news; other changes reach
  /// them with the next news of the same key.
  void Put(const StoreItem& item, bool significant);
  /// All changes up to `revision` were taken over.
  void Advance(std::uint64_t revision);

  /// Nothing was read yet.
  bool empty() const { return this->current == 0; }
  std::uint64_t revision() const { return this->current; }
  /// Revision of the last news.
  std::uint64_t significant_revision() const { return this->last_significant; }
  StorePage All() const;
  /// Changes after a revision; empty if removals since then are forgotten.
  std::optional<StorePage> ChangesAfter(std::uint64_t after) const;

 private:
  struct Entry {
    StoreItem item;
    std::uint64_t significant = 0;  // revision of the last change that is news
  };
  void DropOldTombstones();

  std::map<std::string, Entry, std::less<>> items;
  std::map<std::string, std::uint64_t, std::less<>>
      tombstones;  // revision by key
  std::uint64_t current = 0;
  std::uint64_t last_significant = 0;
  std::uint64_t history_start = 0;  // earlier removals may be unknown
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_MIRROR_H_
