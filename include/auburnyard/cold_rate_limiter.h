#ifndef AUBURNYARD_COLD_RATE_LIMITER_H_
#define AUBURNYARD_COLD_RATE_LIMITER_H_

#include <cstddef>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Limits this host to its share of the requests per second that a cold target
/// can handle from all hosts. Each host derives its share from its rank for the
/// target, without messages between hosts.
class ColdRateLimiter {
 public:
  /// Admits one request; false if this host's share is used up. `allowed` is
  /// the rate of all hosts, `hosts` their number, `rank` this host's position.
  bool Take(TimePoint now, double allowed, std::size_t hosts, std::size_t rank);

 private:
  std::vector<TimePoint> request_times;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COLD_RATE_LIMITER_H_
