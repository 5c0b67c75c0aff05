#include "auburnyard/claim_sweeper.h"

#include <algorithm>

namespace auburnyard {

std::optional<std::string> ClaimSweeper::Next(WallTime wall) {
  // Identifiers of a period are accepted by a host whose clock is behind until
  // its clock shows the end of the period plus the retention. This host's clock
  // may be ahead.
  const std::int64_t expired =
      (wall - kClaimRetention - 2 * kClockSkew) / kClaimPeriod - 1;
  const std::int64_t oldest = expired - kSweepWindow / kClaimPeriod;
  if (!this->period || *this->period < oldest) {
    this->period = oldest;
    this->bucket = 0;
  }
  if (*this->period > expired) {
    return std::nullopt;
  }
  std::string key = ClaimKey(*this->period, this->bucket);
  if (++this->bucket == kClaimBuckets) {
    this->bucket = 0;
    ++*this->period;
  }
  return key;
}

}  // namespace auburnyard
