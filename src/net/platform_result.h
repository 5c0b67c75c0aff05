#ifndef AUBURNYARD_SRC_NET_PLATFORM_RESULT_H_
#define AUBURNYARD_SRC_NET_PLATFORM_RESULT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard {

enum class PlatformCallKind { kGet, kPut, kDelete, kWatch, kLease };
inline constexpr std::size_t kPlatformCallKindCount = 5;

enum class PlatformStatus {
  kOk,
  kNotFound,
  kConflict,     ///< the stored version differs from the expected one
  kRejected,     ///< the service rejected the call as invalid
  kUnavailable,  ///< a read without an answer, or a write that was not sent
  kUnknown,      ///< a write was sent, but its outcome is unknown
};
inline constexpr std::size_t kPlatformStatusCount = 6;

std::string_view ToString(PlatformCallKind kind);
std::string_view ToString(PlatformStatus status);

/// One stored value. `version` is the store's version of the key.
struct PlatformEntry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

struct PutCall {
  std::string key;
  std::string value;
  std::uint64_t expect_version = 0;  ///< 0: the key must not exist
  std::string lease;  ///< the key is deleted with the lease; empty: permanent
};

struct GetResult {
  PlatformStatus status = PlatformStatus::kUnavailable;
  std::string error;
  PlatformEntry entry;
};

struct WriteResult {
  PlatformStatus status = PlatformStatus::kUnknown;
  std::string error;
  std::uint64_t version = 0;  ///< of the key after a successful write
};

struct WatchResult {
  PlatformStatus status = PlatformStatus::kUnavailable;
  std::string error;
  std::uint64_t position = 0;  ///< of the store; `after` of the next watch
  std::vector<PlatformEntry> entries;
};

struct LeaseResult {
  PlatformStatus status = PlatformStatus::kUnknown;
  std::string error;
  std::string id;
};

/// Number of finished calls by kind and status.
using PlatformCounters =
    std::array<std::array<std::uint64_t, kPlatformStatusCount>,
               kPlatformCallKindCount>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_PLATFORM_RESULT_H_
