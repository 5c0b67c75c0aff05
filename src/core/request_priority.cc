#include "auburnyard/request_priority.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Lower priorities are treated alike, so that both fit into one number.
constexpr std::uint32_t kMaxPriority = 0xFFFF;
constexpr std::uint32_t kRouteBits = 16;

}  // namespace

std::uint32_t RequestPriority(const Route& route,
                              const ClientAccount* account) {
  const std::uint32_t own = std::min(route.priority, kMaxPriority);
  const std::uint32_t first =
      account != nullptr && account->priority ? *account->priority : own;
  return std::min(first, kMaxPriority) << kRouteBits | own;
}

}  // namespace auburnyard
