#include "auburnyard/work_estimate.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Number of requests that the averages cover.
constexpr int kAveragedRequests = 200;
constexpr int kMinRequests = 10;
// Multiple of the mean deviation that few requests exceed.
constexpr int kUpperDeviations = 4;
constexpr std::chrono::milliseconds kMinWork{1};
// The usual work is this quantile, approached by steps of a share of it.
constexpr int kUsualPercent = 40;
constexpr int kUsualStepDivisor = 25;

}  // namespace

bool WorkEstimate::known() const {
  return this->count >= kMinRequests;
}

// Requests at slow or paused targets count only up to the upper bound, so that
// a few of them do not change what is expected of the others.
void WorkEstimate::Add(Duration work) {
  Duration observed = std::max<Duration>(work, kMinWork);
  if (this->known()) {
    observed = std::min(observed, this->Upper());
  }
  if (this->count == 0) {
    this->usual = observed;
  }
  const Duration step = this->usual / kUsualStepDivisor;
  this->usual += observed > this->usual ? step * kUsualPercent / 100
                                        : step * (kUsualPercent - 100) / 100;
  this->count = std::min<std::uint32_t>(this->count + 1, kAveragedRequests);
  const Duration error = observed - this->mean;
  this->mean += error / static_cast<int>(this->count);
  const Duration distance = error < Duration::zero() ? -error : error;
  this->deviation +=
      (distance - this->deviation) / static_cast<int>(this->count);
}

Duration WorkEstimate::Upper() const {
  return this->mean + kUpperDeviations * this->deviation;
}

}  // namespace auburnyard
