#ifndef AUBURNYARD_SRC_RELAY_STORE_VERSION_H_
#define AUBURNYARD_SRC_RELAY_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace auburnyard {

/// Position in the history of the store. The epoch rises when the store is
/// restored from an older copy; revisions are assigned again after that, so
/// they can be compared only within an epoch.
struct StoreVersion {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;

  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_VERSION_H_
