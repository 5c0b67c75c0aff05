#include "auburnyard/target_observations.h"

namespace auburnyard {

namespace {

// A new observation has a weight of 1/8 in the smoothed delay.
constexpr int kSmoothingDivisor = 8;
// After this time without an observation, the next one replaces the smoothed
// delay, so that a target that has recovered is no longer avoided.
constexpr Duration kDelayValidity = std::chrono::seconds(1);

void EndAttempt(TargetView& view) {
  view.outstanding -= view.outstanding > 0 ? 1 : 0;
}

}  // namespace

template <typename Change>
void TargetObservations::Update(std::string_view target, Change change) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    change(found->second);
  }
}

void TargetObservations::SetTarget(std::string_view target,
                                   std::string_view domain,
                                   std::uint32_t slots,
                                   bool usable) {
  const std::lock_guard lock(this->mutex);
  TargetView& view = this->targets[std::string(target)];
  view.domain = domain;
  view.slots = slots;
  view.usable = usable;
}

void TargetObservations::Remove(std::string_view target) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    this->targets.erase(found);
  }
}

void TargetObservations::SetDomainDelay(std::string_view domain,
                                        Duration round_trip) {
  const std::lock_guard lock(this->mutex);
  this->domain_delays[std::string(domain)] = round_trip;
}

void TargetObservations::OnStart(std::string_view target) {
  this->Update(target, [](TargetView& view) { ++view.outstanding; });
}

void TargetObservations::OnResult(std::string_view target,
                                  Duration delay,
                                  TimePoint now) {
  this->Update(target, [delay, now](TargetView& view) {
    EndAttempt(view);
    view.last_failure_at.reset();
    const bool recent =
        view.delay && now - view.delay_observed_at <= kDelayValidity;
    const Duration before = recent ? *view.delay : delay;
    view.delay = before + (delay - before) / kSmoothingDivisor;
    view.delay_observed_at = now;
  });
}

void TargetObservations::OnEnd(std::string_view target) {
  this->Update(target, EndAttempt);
}

void TargetObservations::OnFailure(std::string_view target, TimePoint now) {
  this->Update(target, [now](TargetView& view) {
    EndAttempt(view);
    view.last_failure_at = now;
  });
}

void TargetObservations::OnLoadReport(std::string_view target,
                                      std::uint32_t load) {
  this->Update(target, [load](TargetView& view) { view.reported_load = load; });
}

void TargetObservations::OnQueueReport(std::string_view target,
                                       std::uint32_t depth) {
  this->Update(target, [depth](TargetView& view) { view.queue_depth = depth; });
}

TargetView TargetObservations::Get(std::string_view target) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? TargetView{} : found->second;
}

Duration TargetObservations::DomainDelay(std::string_view domain) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->domain_delays.find(domain);
  return found == this->domain_delays.end() ? Duration::zero() : found->second;
}

}  // namespace auburnyard
