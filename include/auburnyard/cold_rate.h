#ifndef AUBURNYARD_COLD_RATE_H_
#define AUBURNYARD_COLD_RATE_H_

#include <cstddef>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard {

/// This host's part of the requests per second that a cold target bears from
/// all hosts together. Hosts divide the rate by their rank for the target, so
/// that no message is needed.
class ColdRate {
 public:
  /// Takes one request; false if this host has none left. `allowed` is the rate
  /// of all hosts, `hosts` their number, `rank` this host's position.
  bool Take(TimePoint now, double allowed, std::size_t hosts, std::size_t rank);

 private:
  std::vector<TimePoint> taken;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COLD_RATE_H_
