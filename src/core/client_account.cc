#include "auburnyard/client_account.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Share of the burst that remains one; the rest is spread over the window.
constexpr double kKeptShare = 0.5;
// Smaller bursts are kept: the arrivals of a few callers coincide at random.
constexpr double kMinBurst = 4;

}  // namespace

AccountLimits SpreadBurst(const AccountLimits& limits,
                          std::chrono::seconds window) {
  const double kept =
      std::min(limits.burst, std::max(limits.burst * kKeptShare, kMinBurst));
  return {.rate = limits.rate +
                  (limits.burst - kept) / static_cast<double>(window.count()),
          .burst = kept};
}

}  // namespace auburnyard
