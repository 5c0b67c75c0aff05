#include "auburnyard/target_gate.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnyard {

namespace {

// The minimum service time of the last second is a conservative estimate: a
// request is rejected only if even the fastest recent one would have missed the
// deadline. The estimate expires if no new samples arrive.
constexpr Duration kServiceTimeWindow = std::chrono::seconds(1);

}  // namespace

TargetGate::TargetGate(std::string target, GateLimits gate_limits)
    : target_id(std::move(target)),
      limits(gate_limits),
      cold_start(gate_limits.cold_limit),
      waiting(gate_limits.lowest_class_per_mille),
      shedder(gate_limits.shed_bounds),
      service_time(kServiceTimeWindow) {
  this->cold_start.SetWarmAfter(gate_limits.warm_after);
}

std::uint32_t TargetGate::window() const {
  return this->cold_start.Window(this->limits.slots);
}

std::optional<Reason> TargetGate::ClosedReason() const {
  if (!this->admission.domain_in) {
    return Reason::kDomainOut;
  }
  if (this->admission.leaving) {
    return Reason::kTargetLeaving;
  }
  if (this->drain.draining()) {
    return Reason::kRetryTargetDraining;
  }
  return std::nullopt;
}

std::vector<GateAction> TargetGate::Enqueue(const GateRequest& request,
                                            TimePoint now) {
  if (this->waiting.Contains(request.id) ||
      this->running.contains(request.id)) {
    return {};
  }
  std::vector<GateAction> actions = this->Advance(now);
  std::optional<Reason> refused = this->RejectionReason(request, now);
  if (!refused && !this->MakeRoom(request, actions)) {
    refused = Reason::kQueueFull;
  }
  if (refused) {
    actions.emplace_back(RejectAttempt{request.id, *refused});
    return actions;
  }
  this->waiting.Push(request, now);
  return this->Advance(now, std::move(actions));
}

std::optional<Reason> TargetGate::RejectionReason(const GateRequest& request,
                                                  TimePoint now) const {
  if (const std::optional<Reason> closed = this->ClosedReason()) {
    return closed;
  }
  if (request.deadline <= now) {
    return Reason::kDeadlineElapsed;
  }
  if (this->WouldMissDeadline(request, now)) {
    return Reason::kDeadlineTooShort;
  }
  const bool starts_at_once =
      this->waiting.size() == 0 && this->running.size() < this->window();
  // One request of the lowest class may always wait, so that the class can use
  // its guaranteed share.
  const bool guaranteed = request.priority == PriorityClass::kArchive &&
                          this->limits.lowest_class_per_mille > 0 &&
                          this->waiting.size(PriorityClass::kArchive) == 0;
  if (!starts_at_once && !guaranteed &&
      this->shedder.ShouldShed(request.priority, this->waiting, now)) {
    return Reason::kQueueDelay;
  }
  return std::nullopt;
}

bool TargetGate::WouldMissDeadline(const GateRequest& request,
                                   TimePoint now) const {
  const std::optional<Duration> service = this->service_time.Get(now);
  if (!service || this->window() == 0) {
    return false;
  }
  const std::size_t rounds =
      this->waiting.CountAhead(request.priority, request.deadline) /
      this->window();
  return now + *service * static_cast<std::int64_t>(rounds + 1) >
         request.deadline;
}

bool TargetGate::MakeRoom(const GateRequest& request,
                          std::vector<GateAction>& actions) {
  const auto fits = [this, &request] {
    return this->waiting.size() < this->limits.queue_length &&
           this->waiting.bytes() + request.bytes <= this->limits.queue_bytes;
  };
  while (!fits()) {
    const std::optional<WaitingRequest> last =
        this->waiting.PopLastBelow(request.priority);
    if (!last) {
      return false;
    }
    actions.emplace_back(RejectAttempt{last->request.id, Reason::kQueueFull});
  }
  return true;
}

std::vector<GateAction> TargetGate::Cancel(const AttemptId& id,
                                           Reason reason,
                                           TimePoint now) {
  std::vector<GateAction> actions;
  const auto found = this->running.find(id);
  if (this->waiting.Remove(id)) {
    actions.emplace_back(RejectAttempt{id, reason});
  } else if (found != this->running.end() && !found->second.aborted &&
             found->second.request.idempotent) {
    // The slot stays in use until the exchange has ended. A non-idempotent
    // exchange continues, because an abort would lose its outcome.
    found->second.aborted = true;
    actions.emplace_back(AbortAttempt{id, reason});
  }
  return this->Advance(now, std::move(actions));
}

std::vector<GateAction> TargetGate::OnReply(const AttemptId& id,
                                            ReplyOutcome outcome,
                                            const TargetReport& report,
                                            TimePoint now) {
  std::vector<GateAction> actions;
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    ++this->unknown_reply_count;
    // Either the reply is late or the target has restarted. A needless cold
    // start only delays requests; a missed restart could overload the target.
    if (!report.start_id.empty() && !this->start_id.empty() &&
        report.start_id != this->start_id) {
      this->BecomeCold(this->limits.cold_limit, actions);
    }
    return this->Advance(now, std::move(actions));
  }
  const Running exchange = std::move(found->second);
  this->running.erase(found);
  this->UpdateFromReport(exchange, report, now, actions);
  if (outcome == ReplyOutcome::kOk) {
    this->cold_start.OnSuccess(exchange.epoch, this->limits.slots);
    if (!exchange.aborted) {
      this->service_time.Add(now - exchange.dispatched, now);
    }
  }
  return this->Advance(now, std::move(actions));
}

void TargetGate::UpdateFromReport(const Running& exchange,
                                  const TargetReport& report,
                                  TimePoint now,
                                  std::vector<GateAction>& actions) {
  // The first start identifier counts as new, because the target may have
  // restarted since the exchange began.
  const bool same_process =
      report.start_id.empty() || report.start_id == this->start_id;
  if (!same_process && exchange.epoch < this->cold_start.epoch()) {
    return;  // a late reply from before the restart
  }
  if (!same_process) {
    this->BecomeCold(this->limits.cold_limit, actions);
    this->drain.Clear();
  }
  if (!report.start_id.empty()) {
    this->start_id = report.start_id;
  }
  // A reply without a drain report does not clear the mark: nothing is
  // dispatched while the mark is set, so the exchange began before it.
  if (report.draining) {
    this->drain.Set(now + this->limits.drain_hold);
  }
}

std::vector<GateAction> TargetGate::OnExchangeEnded(const AttemptId& id,
                                                    TimePoint now) {
  this->running.erase(id);
  return this->Advance(now);
}

std::vector<GateAction> TargetGate::OnConnectionLost(const AttemptId& id,
                                                     TimePoint now) {
  std::vector<GateAction> actions;
  this->running.erase(id);
  this->BecomeCold(this->limits.cold_limit, actions);
  return this->Advance(now, std::move(actions));
}

std::vector<GateAction> TargetGate::SetLimits(GateLimits gate_limits,
                                              TimePoint now) {
  this->cold_start.SetWarmAfter(gate_limits.warm_after);
  if (gate_limits.used_by_other_host) {
    // While another host uses the target, this gate does not observe when it
    // becomes cold.
    this->cold_start.Reset(gate_limits.cold_limit);
  }
  this->cold_start.SetColdLimit(gate_limits.cold_limit, this->limits.slots);
  this->waiting.SetGuaranteedShare(gate_limits.lowest_class_per_mille);
  this->shedder.SetBounds(gate_limits.shed_bounds);
  this->limits = gate_limits;
  return this->Advance(now);
}

std::vector<GateAction> TargetGate::SetAdmission(GateAdmission gate_admission,
                                                 TimePoint now) {
  this->admission = gate_admission;
  return this->Advance(now);
}

std::vector<GateAction> TargetGate::OnTimer(TimePoint now) {
  return this->Advance(now);
}

std::vector<GateAction> TargetGate::EndDrain(TimePoint now) {
  std::vector<GateAction> actions;
  if (this->drain.draining()) {
    this->drain.Clear();
    this->BecomeCold(this->limits.cold_limit, actions);
  }
  return this->Advance(now, std::move(actions));
}

std::optional<TimePoint> TargetGate::NextTimer() const {
  std::optional<TimePoint> next = this->waiting.EarliestDeadline();
  if (next && this->zero_window_since) {
    next = std::min(*next,
                    *this->zero_window_since + this->limits.zero_window_wait);
  }
  return next;
}

void TargetGate::BecomeCold(std::uint32_t limit,
                            std::vector<GateAction>& actions) {
  this->cold_start.Reset(limit);
  this->AbortExcess(actions);
}

void TargetGate::AbortExcess(std::vector<GateAction>& actions) {
  // A non-idempotent exchange is not aborted, because its outcome would be
  // lost.
  std::size_t remaining = 0;
  std::vector<Running*> candidates;
  for (auto& [id, exchange] : this->running) {
    remaining += exchange.aborted ? 0 : 1;
    if (!exchange.aborted && exchange.request.idempotent) {
      candidates.push_back(&exchange);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Running* left, const Running* right) {
              return std::tie(left->request.priority, left->dispatched,
                              left->request.id) >
                     std::tie(right->request.priority, right->dispatched,
                              right->request.id);
            });
  for (Running* exchange : candidates) {
    if (remaining <= this->window()) {
      return;
    }
    exchange->aborted = true;
    --remaining;
    actions.emplace_back(
        AbortAttempt{exchange->request.id, Reason::kTargetColdLimit});
  }
}

std::vector<GateAction> TargetGate::Advance(TimePoint now,
                                            std::vector<GateAction> actions) {
  if (this->drain.Expire(now)) {
    this->BecomeCold(std::min(1U, this->limits.cold_limit), actions);
  }
  if (const std::optional<Reason> closed = this->ClosedReason()) {
    Reject(this->waiting.PopAll(), *closed, actions);
  }
  this->RejectUnmeetableDeadlines(now, actions);
  this->TrackZeroWindow(now, actions);
  this->DispatchWaiting(now, actions);
  return actions;
}

void TargetGate::RejectUnmeetableDeadlines(TimePoint now,
                                           std::vector<GateAction>& actions) {
  Reject(this->waiting.PopDue(now), Reason::kDeadlineElapsed, actions);
  if (const std::optional<Duration> service = this->service_time.Get(now)) {
    Reject(this->waiting.PopDue(now + *service - Duration(1)),
           Reason::kDeadlineTooShort, actions);
  }
}

void TargetGate::TrackZeroWindow(TimePoint now,
                                 std::vector<GateAction>& actions) {
  if (this->window() > 0 || this->waiting.size() == 0) {
    this->zero_window_since.reset();
    return;
  }
  if (!this->zero_window_since) {
    this->zero_window_since = now;
  }
  // A change of the membership view can set the window to zero briefly, so
  // queued requests are not rejected at once.
  if (now >= *this->zero_window_since + this->limits.zero_window_wait) {
    Reject(this->waiting.PopAll(),
           this->limits.slots == 0 ? Reason::kTargetSlotsBusy
                                   : Reason::kTargetColdLimit,
           actions);
  }
}

void TargetGate::DispatchWaiting(TimePoint now,
                                 std::vector<GateAction>& actions) {
  while (this->running.size() < this->window()) {
    std::optional<WaitingRequest> next = this->waiting.PopNext();
    if (!next) {
      return;
    }
    this->shedder.OnStart(next->request.priority, now - next->enqueued, now);
    const AttemptId id = next->request.id;
    this->running.emplace(id, Running{.request = std::move(next->request),
                                      .dispatched = now,
                                      .epoch = this->cold_start.epoch()});
    actions.emplace_back(DispatchAttempt{id});
  }
}

void TargetGate::Reject(const std::vector<WaitingRequest>& requests,
                        Reason reason,
                        std::vector<GateAction>& actions) {
  for (const WaitingRequest& entry : requests) {
    actions.emplace_back(RejectAttempt{entry.request.id, reason});
  }
}

}  // namespace auburnyard
