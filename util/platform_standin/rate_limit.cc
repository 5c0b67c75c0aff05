#include "util/platform_standin/rate_limit.h"

#include <algorithm>
#include <chrono>

namespace auburnyard::util {

bool RateLimit::Allow(std::uint32_t per_second, TimePoint now) {
  if (per_second == 0) {
    return true;
  }
  const std::chrono::duration<double> elapsed = now - this->updated;
  this->updated = now;
  this->tokens =
      std::min<double>(per_second, this->tokens + elapsed.count() * per_second);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace auburnyard::util
