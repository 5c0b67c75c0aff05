#include "auburnyard/cold_rate.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Longer than the second that counts: requests wait for different times before
// they arrive.
constexpr std::chrono::milliseconds kWindow{1'300};
// Part of the rate that stays unused, because hosts that just came or left are
// not yet known to all.
constexpr double kUnusedShare = 0.25;

}  // namespace

bool ColdRate::Take(TimePoint now,
                    double allowed,
                    std::size_t hosts,
                    std::size_t rank) {
  std::erase_if(this->taken,
                [now](TimePoint time) { return now - time >= kWindow; });
  const auto usable =
      static_cast<std::size_t>(std::max(0.0, allowed * (1 - kUnusedShare)));
  const std::size_t share = usable / hosts + (rank < usable % hosts ? 1 : 0);
  if (this->taken.size() >= share) {
    return false;
  }
  this->taken.push_back(now);
  return true;
}

}  // namespace auburnyard
