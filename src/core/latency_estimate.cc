#include "auburnyard/latency_estimate.h"

#include <algorithm>

namespace auburnyard {

namespace {

// Divisors that give the weight of a new observation: the mean covers about the
// last 10 requests.
constexpr int kMeanDivisor = 10;
constexpr int kDeviationDivisor = 8;
// Each slower observation raises the floor by the gap divided by this number.
constexpr int kFloorDivisor = 200;
// Multiple of the mean deviation that few requests exceed.
constexpr int kUpperDeviations = 4;
// Observations older than this describe an earlier state of the target.
constexpr std::chrono::seconds kStaleAfter{2};

}  // namespace

LatencyEstimate::LatencyEstimate(Duration initial)
    : prior(initial), mean(initial), deviation(initial / 4), floor(initial) {}

void LatencyEstimate::Add(Duration latency, TimePoint now) {
  if (this->Stale(now) && this->mean > this->prior) {
    this->mean = this->prior;
    this->deviation = this->prior / 4;
  }
  const Duration error = latency - this->mean;
  this->mean += error / kMeanDivisor;
  this->deviation +=
      ((error < Duration::zero() ? -error : error) - this->deviation) /
      kDeviationDivisor;
  this->floor = latency < this->floor
                    ? latency
                    : this->floor + (latency - this->floor) / kFloorDivisor;
  this->updated = now;
}

bool LatencyEstimate::Stale(TimePoint now) const {
  return now - this->updated > kStaleAfter;
}

Duration LatencyEstimate::Mean(TimePoint now) const {
  return this->Stale(now) ? std::min(this->mean, this->prior) : this->mean;
}

Duration LatencyEstimate::Upper(TimePoint now) const {
  return this->Mean(now) + kUpperDeviations * this->deviation;
}

Duration LatencyEstimate::Floor() const {
  return this->floor;
}

}  // namespace auburnyard
