#ifndef AUBURNYARD_SRC_DAEMON_STORE_FAULT_H_
#define AUBURNYARD_SRC_DAEMON_STORE_FAULT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnyard {

/// Why contents of the platform's service were refused.
enum class StoreFaultKind {
  kOlder,     ///< the store was reverted to a lower revision
  kConflict,  ///< the store has other contents for the revision in force
  kMissing,   ///< the document is no longer in the store
  kMalformed,
};
inline constexpr std::size_t kStoreFaultKindCount = 4;

std::string_view ToString(StoreFaultKind kind);

/// Current fault of one document. The document in force stays in force.
struct StoreFault {
  std::string key;
  StoreFaultKind kind = StoreFaultKind::kOlder;
  std::string detail;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_STORE_FAULT_H_
