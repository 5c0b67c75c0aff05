#include "auburnyard/claim_sweeper.h"

#include <algorithm>

namespace auburnyard {

std::optional<std::string> ClaimSweeper::Next(WallTime wall) {
  // A host accepts identifiers of a period until its own clock passes the end
  // of the period plus the retention. Its clock may be slow by the maximum skew
  // and this host's clock fast by as much.
  const std::int64_t newest_expired =
      (wall - kClaimRetention - 2 * kMaxClockSkew) / kClaimPeriod - 1;
  const std::int64_t oldest = newest_expired - kSweepWindow / kClaimPeriod;
  if (!this->period || *this->period < oldest) {
    this->period = oldest;
    this->bucket = 0;
  }
  if (*this->period > newest_expired) {
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
