#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_LOAD_REPORTER_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_LOAD_REPORTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "auburnyard/clock.h"
#include "util/target_standin/target_faults.h"

namespace auburnyard::util {

/// Computes the load that a target reports, with the load faults that are
/// switched on.
class LoadReporter {
 public:
  /// Records the true load and returns the value to report, if any.
  std::optional<std::uint32_t> Report(std::uint32_t load,
                                      const TargetFaults& faults,
                                      TimePoint now);

 private:
  std::deque<std::pair<TimePoint, std::uint32_t>> history;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_LOAD_REPORTER_H_
