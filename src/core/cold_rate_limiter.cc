#include "auburnyard/cold_rate_limiter.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Longer than the second that the limit refers to, because requests are delayed
// by different times before they arrive at the target.
constexpr std::chrono::milliseconds kWindow{1'300};
// Share of the rate that stays unused, because hosts that recently joined or
// left are not yet visible to all other hosts.
constexpr double kUnusedShare = 0.25;

}  // namespace

bool ColdRateLimiter::Take(TimePoint now,
                           double allowed,
                           std::size_t hosts,
                           std::size_t rank) {
  std::erase_if(this->request_times,
                [now](TimePoint time) { return now - time >= kWindow; });
  const auto usable =
      static_cast<std::size_t>(std::max(0.0, allowed * (1 - kUnusedShare)));
  const std::size_t share = usable / hosts + (rank < usable % hosts ? 1 : 0);
  if (this->request_times.size() >= share) {
    return false;
  }
  this->request_times.push_back(now);
  return true;
}

}  // namespace auburnyard
