#include "auburnyard/latency_tracker.h"

#include <cmath>
#include <mutex>

#include <boost/histogram.hpp>

namespace auburnyard {

namespace {

namespace histogram = boost::histogram;

// 0.1 ms to 60 s (the maximum deadline), in bins that grow by less than 10%.
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 60'000;
constexpr unsigned kBinCount = 140;
// Below this total weight, a 95% quantile is not meaningful.
constexpr double kMinWeight = 20;
constexpr double kHedgeQuantile = 0.95;
// The decay is applied in steps, because each one updates every bin.
constexpr int kStepsPerHalfLife = 8;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<double>;

}  // namespace

struct LatencyTracker::State {
  explicit State(Duration half_life)
      : step(half_life / kStepsPerHalfLife),
        counts(histogram::make_histogram_with(
            Storage{},
            Axis(kBinCount, kMinLatencyMs, kMaxLatencyMs))) {}

  void Decay(TimePoint now) {
    if (now < this->decayed + this->step) {
      return;
    }
    const auto steps = (now - this->decayed) / this->step;
    this->counts *= std::exp2(-static_cast<double>(steps) / kStepsPerHalfLife);
    this->decayed += steps * this->step;
  }

  std::mutex mutex;
  Duration step;
  TimePoint decayed;
  decltype(histogram::make_histogram_with(Storage{}, Axis())) counts;
};

LatencyTracker::LatencyTracker(Duration half_life)
    : state(std::make_unique<State>(half_life)) {}

LatencyTracker::~LatencyTracker() = default;

void LatencyTracker::Add(Duration latency, TimePoint now) {
  const std::lock_guard lock(this->state->mutex);
  this->state->Decay(now);
  this->state->counts(ToMilliseconds(latency));
}

std::optional<Duration> LatencyTracker::Quantile(double fraction,
                                                 TimePoint now) const {
  const std::lock_guard lock(this->state->mutex);
  this->state->Decay(now);
  const double total = histogram::algorithm::sum(this->state->counts);
  if (total < kMinWeight) {
    return std::nullopt;
  }
  const Axis& axis = this->state->counts.axis();
  double cumulative = 0;
  for (int i = -1; i < axis.size(); ++i) {
    cumulative += this->state->counts.at(i);
    if (cumulative >= fraction * total) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(axis.value(i + 1)));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(kMaxLatencyMs));
}

Duration HedgeDelay(const ServiceConfig& service,
                    const LatencyTracker& tracker,
                    TimePoint now) {
  if (service.hedge_delay > std::chrono::milliseconds(0)) {
    return service.hedge_delay;
  }
  return tracker.Quantile(kHedgeQuantile, now).value_or(Duration::zero());
}

}  // namespace auburnyard
