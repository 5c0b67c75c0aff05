#ifndef AUBURNYARD_UTIL_PLATFORM_STANDIN_RATE_LIMIT_H_
#define AUBURNYARD_UTIL_PLATFORM_STANDIN_RATE_LIMIT_H_

#include <cstdint>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Token bucket that holds at most the tokens of one second.
class RateLimit {
 public:
  /// Takes a token if there is one. A rate of 0 means no limit.
  bool Allow(std::uint32_t per_second, TimePoint now);

 private:
  TimePoint updated;
  double tokens = 0;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_PLATFORM_STANDIN_RATE_LIMIT_H_
