#ifndef AUBURNYARD_REPEAT_BUDGET_H_
#define AUBURNYARD_REPEAT_BUDGET_H_

#include <cstdint>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard {

struct RepeatBudgetLimits {
  double ratio = 0.2;  ///< repeats per request
  double burst = 0;    ///< repeats of this host beyond the ratio
  Duration window = std::chrono::seconds(10);
};

/// Limits the repeats at one service, which are arrivals beyond the first one
/// of each request, within any time window. A host that keeps to the ratio of
/// its own requests needs no coordination with other hosts.
class RepeatBudget {
 public:
  explicit RepeatBudget(RepeatBudgetLimits limits);

  /// `share` is less than 1 for a request that is partly counted by another
  /// host.
  void OnRequest(TimePoint now, double share = 1);
  /// Takes one repeat; false if the budget is used up. `reserve` is the share
  /// of the budget that must remain for repeats of higher priority.
  bool Take(TimePoint now, double reserve = 0);
  void SetLimits(RepeatBudgetLimits new_limits);

 private:
  struct Slice {
    std::int64_t number = -1;
    double requests = 0;
    std::uint32_t repeats = 0;
  };
  Slice& SliceAt(TimePoint now);

  RepeatBudgetLimits limits;
  std::vector<Slice> slices;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_REPEAT_BUDGET_H_
