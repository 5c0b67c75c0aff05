#include "auburnyard/backoff.h"

#include <algorithm>

namespace auburnyard {

Backoff::Backoff(std::uint64_t seed) : random(seed), ceiling(2 * kMinDelay) {}

std::chrono::milliseconds Backoff::Next() {
  // Half of the ceiling is random, so that hosts that lost the same service at
  // the same time do not reconnect to it simultaneously.
  std::uniform_int_distribution<std::int64_t> delay(this->ceiling.count() / 2,
                                                    this->ceiling.count());
  const std::chrono::milliseconds next(delay(this->random));
  this->ceiling = std::min(2 * this->ceiling, kMaxDelay);
  return next;
}

void Backoff::Reset() {
  this->ceiling = 2 * kMinDelay;
}

}  // namespace auburnyard
