#ifndef AUBURNYARD_UTIL_PLATFORM_STANDIN_KEY_VALUE_STORE_H_
#define AUBURNYARD_UTIL_PLATFORM_STANDIN_KEY_VALUE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Current state of one key. A deleted key keeps its version, so that a key
/// that is created again never reuses a version.
struct StoredValue {
  std::string value;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;  ///< store revision of the last change
  std::string lease;
  bool deleted = false;
};

/// Result of a write.
struct WriteResult {
  bool ok = false;
  bool lease_missing = false;
  std::uint64_t version = 0;  ///< current version; 0 if the key is absent
};

struct ChangeEvent {
  std::string key;
  StoredValue stored;
};

/// Parameters of a write.
struct WriteRequest {
  std::string key;
  std::string value;
  std::optional<std::uint64_t> expect_version;  ///< 0: must not exist
  std::string lease;                            ///< empty: permanent
};

/// Versioned keys with leases. Not thread-safe.
class KeyValueStore {
 public:
  const StoredValue* Find(std::string_view key) const;
  WriteResult Put(const WriteRequest& request);
  WriteResult Delete(std::string_view key,
                     std::optional<std::uint64_t> expect_version);

  /// Last change of each key under the prefix that changed after `after`.
  std::vector<ChangeEvent> ChangesAfter(std::string_view prefix,
                                        std::uint64_t after) const;
  std::uint64_t revision() const { return this->store_revision; }

  std::string GrantLease(Duration ttl, TimePoint now);
  /// False if the lease does not exist or has expired.
  bool KeepAlive(std::string_view lease, TimePoint now);
  /// Deletes the keys of expired leases. True if a key was deleted.
  bool ExpireLeases(TimePoint now);

 private:
  struct Lease {
    Duration ttl;
    TimePoint expires;
  };

  std::uint64_t CurrentVersion(std::string_view key) const;

  std::map<std::string, StoredValue, std::less<>> keys;
  std::map<std::string, Lease, std::less<>> leases;
  std::uint64_t store_revision = 0;
  std::uint64_t next_lease = 1;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_PLATFORM_STANDIN_KEY_VALUE_STORE_H_
