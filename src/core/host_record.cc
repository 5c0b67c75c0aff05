#include "auburnyard/host_record.h"

#include <tuple>

namespace auburnyard {

// With equal revisions the later HostState counts as newer (left over suspected
// over live), so that two hosts that changed the same record independently
// converge.
bool IsNewer(const HostRecord& left, const HostRecord& right) {
  return std::tie(left.nonce, left.revision, left.state, left.serving) >
         std::tie(right.nonce, right.revision, right.state, right.serving);
}

}  // namespace auburnyard
