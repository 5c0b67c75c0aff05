#ifndef AUBURNYARD_WORK_ESTIMATE_H_
#define AUBURNYARD_WORK_ESTIMATE_H_

#include <cstdint>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Moving mean and mean deviation of the time that requests of one kind spend
/// at targets, over all targets of this host and without the network.
class WorkEstimate {
 public:
  /// Whether enough requests have been observed.
  bool known() const;
  void Add(Duration work);
  Duration Mean() const { return this->mean; }
  /// Quantile below the median. Slow targets and queues at some of the targets
  /// do not change it, unlike the mean.
  Duration Usual() const { return this->usual; }
  /// Estimated upper bound that few requests exceed at a normal target.
  Duration Upper() const;

 private:
  Duration mean{};
  Duration usual{};
  Duration deviation{};
  std::uint32_t count = 0;  // of observations, up to the averaging length
};

}  // namespace auburnyard

#endif  // AUBURNYARD_WORK_ESTIMATE_H_
