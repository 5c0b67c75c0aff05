#include "auburnyard/target_state.h"

#include <algorithm>
#include <cmath>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Expected latencies before any observation: a short execution plus the network
// round trip.
constexpr milliseconds kPriorSameDomain{10};
constexpr milliseconds kPriorSameRegion{14};
constexpr milliseconds kPriorOtherRegion{55};

// A load report is used for this long.
constexpr milliseconds kLoadReportValidity{200};
// The queue and the speed are used for this long to decide how many requests
// are admitted, for which the trend matters more than the present value.
constexpr milliseconds kQueueReportValidity{500};
constexpr std::uint32_t kUsualSpeed = 100;
// Pauses of targets end within a few hundred milliseconds.
constexpr milliseconds kStallCost{150};
// Added to the upper latency estimate, so that an ordinary slow request does
// not count as a stall.
constexpr milliseconds kStallMargin{10};
// Cost of an attempt that fails: the time that it waited, plus a repeat.
constexpr milliseconds kFailureCost{250};
constexpr milliseconds kColdCost{100};
constexpr milliseconds kAvoidCost{1'000};
// An unreachable target is retried with exponential backoff.
constexpr milliseconds kMinAvoid{100};
constexpr milliseconds kMaxAvoid{1'600};
constexpr std::uint32_t kMaxAvoidDoublings = 4;
// Half-life of the failure share while there are no further outcomes.
constexpr milliseconds kFailureHalfLife{1'500};
constexpr double kOutcomeWeight = 0.25;
// A slowdown is expected to last this long after the last observation.
constexpr std::chrono::seconds kSlowdownValidity{2};
// Weight of a new observation: about the last ten requests count.
constexpr double kSlowdownWeight = 0.1;
// Limits the effect of a single request that met a pause.
constexpr double kMaxSlowdown = 20;
// A reply of a slower target counts as late nevertheless.
constexpr double kMaxUsualSlowdown = 2;
// Requests run at least this long.
constexpr milliseconds kMinExecution{1};

Duration PriorFor(Distance distance) {
  switch (distance) {
    case Distance::kSameDomain:
      return kPriorSameDomain;
    case Distance::kSameRegion:
      return kPriorSameRegion;
    case Distance::kOtherRegion:
      break;
  }
  return kPriorOtherRegion;
}

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

TargetState::TargetState(TargetEntry registered, Distance from_here)
    : registration(std::move(registered)),
      location(from_here),
      latency_estimate(PriorFor(from_here)) {}

void TargetState::OnConnected(Duration took) {
  this->min_connect_time = std::min(this->min_connect_time, took);
}

Duration TargetState::RoundTrip() const {
  return std::min(this->min_connect_time, this->latency_estimate.Floor());
}

double TargetState::Slowdown(TimePoint now) const {
  // An outdated slowdown is verified by one request at a time.
  const bool outdated = now - this->slowdown_updated > kSlowdownValidity &&
                        this->sent_requests.empty();
  return outdated ? std::min(this->slowdown, 1.0) : this->slowdown;
}

double TargetState::SpeedChange(TimePoint now) const {
  return this->reported_speed.At(now) / this->reported_speed.Base();
}

void TargetState::AddSlowdown(Duration latency,
                              TimePoint now,
                              const WorkEstimate& work) {
  const double observed =
      std::clamp(std::chrono::duration<double>(latency - this->RoundTrip()) /
                     std::chrono::duration<double>(work.Mean()) /
                     this->reported_speed.At(now),
                 0.0, kMaxSlowdown);
  if (now - this->slowdown_updated > kSlowdownValidity) {
    this->slowdown = std::min(this->slowdown, 1.0);
  }
  this->slowdown += (observed - this->slowdown) * kSlowdownWeight;
  this->slowdown_updated = now;
}

Duration TargetState::Expected(TimePoint now, const WorkEstimate* work) const {
  if (work == nullptr || !work->known()) {
    return this->RoundTrip() +
           Scaled(this->latency_estimate.Mean(now) - this->RoundTrip(),
                  this->SpeedChange(now));
  }
  return this->RoundTrip() +
         Scaled(work->Mean(),
                this->Slowdown(now) * this->reported_speed.At(now));
}

Duration TargetState::Upper(TimePoint now, const WorkEstimate* work) const {
  if (work == nullptr || !work->known()) {
    return this->latency_estimate.Upper(now);
  }
  return this->RoundTrip() +
         Scaled(work->Upper(),
                std::clamp(this->Slowdown(now) * this->reported_speed.At(now),
                           1.0, kMaxUsualSlowdown));
}

void TargetState::OnSent(TimePoint now, const WorkEstimate* work) {
  this->sent_requests.push_back({now, now + this->Expected(now, work),
                                 now + this->Upper(now, work) + kStallMargin});
}

void TargetState::OnReply(TimePoint sent_at,
                          TimePoint now,
                          WorkEstimate* work) {
  this->Remove(sent_at);
  this->latency_estimate.Add(now - sent_at, now);
  if (work != nullptr) {
    work->Add(Scaled(now - sent_at - this->RoundTrip(),
                     1 / this->reported_speed.At(now)));
    this->AddSlowdown(now - sent_at, now, *work);
  }
  this->consecutive_failures = 0;
  this->avoid_until = {};
  this->CountOutcome(false, now);
}

void TargetState::OnRefused(TimePoint sent_at, TimePoint now) {
  this->Remove(sent_at);
  this->CountOutcome(true, now);
}

void TargetState::OnFailed(TimePoint sent_at, TimePoint now) {
  this->Remove(sent_at);
  this->CountOutcome(true, now);
  if (++this->consecutive_failures > 1) {
    this->OnUnreachable(now);
  }
}

void TargetState::OnUnreachable(TimePoint now) {
  ++this->consecutive_failures;
  const std::uint32_t doublings =
      std::min(this->consecutive_failures - 1, kMaxAvoidDoublings);
  this->avoid_until =
      now + std::min<Duration>(kMinAvoid * (1 << doublings), kMaxAvoid);
  this->CountOutcome(true, now);
}

void TargetState::OnAbandoned(TimePoint sent_at) {
  this->Remove(sent_at);
}

void TargetState::OnAbandoned(TimePoint sent_at,
                              TimePoint now,
                              const WorkEstimate* work) {
  if (work != nullptr && work->known() &&
      now - sent_at > this->Expected(now, work)) {
    this->AddSlowdown(now - sent_at, now, *work);
  }
  this->Remove(sent_at);
}

void TargetState::OnLoad(const LoadReport& report, TimePoint now) {
  this->load = report;
  if (report.speed_percent) {
    this->reported_speed.Add(*report.speed_percent, now);
  }
  this->load_reported_at = now;
}

void TargetState::Remove(TimePoint sent_at) {
  const auto found = std::find_if(
      this->sent_requests.begin(), this->sent_requests.end(),
      [sent_at](const SentRequest& sent) { return sent.sent_at == sent_at; });
  if (found != this->sent_requests.end()) {
    *found = this->sent_requests.back();
    this->sent_requests.pop_back();
  }
}

double TargetState::FailureShare(TimePoint now) const {
  const double half_lives =
      std::chrono::duration<double>(now - this->last_outcome_at) /
      std::chrono::duration<double>(kFailureHalfLife);
  return this->failure_share * std::exp2(-half_lives);
}

void TargetState::CountOutcome(bool failed, TimePoint now) {
  const double share = this->FailureShare(now);
  this->failure_share = share + ((failed ? 1.0 : 0.0) - share) * kOutcomeWeight;
  this->last_outcome_at = now;
}

bool TargetState::Stalled(TimePoint now) const {
  return std::any_of(
      this->sent_requests.begin(), this->sent_requests.end(),
      [now](const SentRequest& sent) { return now > sent.late_at; });
}

bool TargetState::IsOldest(TimePoint sent_at) const {
  return std::none_of(
      this->sent_requests.begin(), this->sent_requests.end(),
      [sent_at](const SentRequest& sent) { return sent.sent_at < sent_at; });
}

Duration TargetState::Overdue(TimePoint now) const {
  Duration overdue = Duration::zero();
  for (const SentRequest& sent : this->sent_requests) {
    overdue = std::max(overdue, now - sent.expected_at);
  }
  return overdue;
}

Duration TargetState::ConnectionWait(TimePoint now) const {
  const std::size_t ahead = this->sent_requests.size() + this->waiting;
  if (this->connection_limit == 0 || ahead < this->connection_limit) {
    return Duration::zero();
  }
  return this->latency_estimate.Mean(now) *
         static_cast<int>(ahead - this->connection_limit + 1) /
         static_cast<int>(this->connection_limit);
}

Duration TargetState::Delay(TimePoint now, const WorkEstimate* work) const {
  Duration delay = this->Expected(now, work);
  const Duration execution = std::max<Duration>(
      Scaled(this->latency_estimate.Mean(now) - this->latency_estimate.Floor(),
             this->SpeedChange(now)),
      kMinExecution);
  std::size_t requests_ahead = this->sent_requests.size();
  std::uint32_t slots = std::max(1U, this->registration.slots);
  if (this->load && now - this->load_reported_at < kLoadReportValidity) {
    requests_ahead = std::max<std::size_t>(
        requests_ahead, this->load->running + this->load->waiting);
    slots = std::max(1U, this->load->slots);
  }
  if (requests_ahead >= slots) {
    delay += execution * static_cast<int>(requests_ahead - slots + 1) /
             static_cast<int>(slots);
  }
  delay += this->ConnectionWait(now);
  delay += std::min<Duration>(this->Overdue(now), kStallCost);
  if (this->Stalled(now)) {
    delay += kStallCost;
  }
  return delay;
}

TargetLoad TargetState::Load(TimePoint now) const {
  TargetLoad result{.round_trip = this->RoundTrip()};
  std::size_t ahead = this->sent_requests.size();
  std::uint32_t slots = this->registration.slots;
  if (this->load && now - this->load_reported_at < kQueueReportValidity) {
    ahead =
        std::max<std::size_t>(ahead, this->load->running + this->load->waiting);
    slots = this->load->slots;
    result.slowness =
        std::clamp(this->load->speed_percent.value_or(kUsualSpeed) /
                       static_cast<double>(kUsualSpeed),
                   1.0, kMaxSlowdown);
  }
  result.rounds =
      static_cast<double>(ahead) / static_cast<double>(std::max(1U, slots));
  return result;
}

Duration TargetState::Cost(TimePoint now, const WorkEstimate* work) const {
  Duration cost = this->Delay(now, work);
  if (now < this->avoid_until) {
    cost += kAvoidCost;
  }
  if (this->Cold(now)) {
    cost += kColdCost;
  }
  if (this->failure_share > 0) {
    cost += Scaled(kFailureCost, this->FailureShare(now));
  }
  return cost;
}

}  // namespace auburnyard
