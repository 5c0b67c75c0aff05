#ifndef AUBURNYARD_SRC_RELAY_LOG_LIMITER_H_
#define AUBURNYARD_SRC_RELAY_LOG_LIMITER_H_

#include <cstdint>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Limits the log lines of one event per second and counts the suppressed ones.
class LogLimiter {
 public:
  explicit LogLimiter(std::uint32_t per_second) : limit(per_second) {}

  /// Returns whether the line may be written, and then sets `omitted` to the
  /// number of lines suppressed since the last one written.
  bool Allow(TimePoint now, std::uint64_t& omitted) {
    if (now - this->second >= std::chrono::seconds(1)) {
      this->second = now;
      this->written = 0;
    }
    if (this->written >= this->limit) {
      ++this->suppressed;
      return false;
    }
    ++this->written;
    omitted = this->suppressed;
    this->suppressed = 0;
    return true;
  }

 private:
  std::uint32_t limit;
  std::uint32_t written = 0;
  std::uint64_t suppressed = 0;
  TimePoint second{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_LOG_LIMITER_H_
