#include "src/daemon/gate_runner.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "auburnyard/decision_records.h"

namespace auburnyard {

GateRunner::GateRunner(boost::asio::io_context& io_context,
                       const Clock& runtime_clock,
                       const TargetConfig& target_config,
                       const GateHooks& gate_hooks,
                       DecisionRecorder& decision_recorder)
    : context(io_context),
      clock(runtime_clock),
      hooks(gate_hooks),
      recorder(decision_recorder),
      target(target_config),
      client(std::make_shared<TargetClient>(io_context,
                                            target_config,
                                            runtime_clock)),
      gate(target_config.id, {.slots = 0, .cold_limit = 0}) {}

void GateRunner::Enqueue(const SubRequest& request,
                         SubRequestObserver observer) {
  const GateLimits limits = this->hooks.limits(this->config());
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    actions = this->gate.SetLimits(limits, now);
    this->recorder.Record(
        MakeEnqueuedRecord(this->gate, request.id, this->recorder.Time()));
    this->entries.emplace(request.id, Entry{request, std::move(observer)});
    const std::vector<GateAction> more =
        this->gate.Enqueue({.id = request.id,
                            .priority = request.priority,
                            .deadline = request.deadline,
                            .idempotent = request.idempotent,
                            .bytes = request.query.size()},
                           now);
    actions.insert(actions.end(), more.begin(), more.end());
    this->Record(actions);
  }
  this->Perform(actions);
}

void GateRunner::Record(const std::vector<GateAction>& actions) {
  for (const GateAction& action : actions) {
    this->recorder.Record(
        MakeRecord(this->gate, action, this->recorder.Time()));
  }
}

void GateRunner::Cancel(const AttemptId& id, Reason reason) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.Cancel(id, reason, this->clock.Now());
    this->Record(actions);
  }
  this->Perform(actions);
}

void GateRunner::Configure(const TargetConfig& target_config) {
  {
    const std::lock_guard lock(this->mutex);
    this->target = target_config;
  }
  this->RefreshLimits();
}

void GateRunner::RefreshLimits() {
  const GateLimits limits = this->hooks.limits(this->config());
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.SetLimits(limits, this->clock.Now());
    this->Record(actions);
  }
  this->Perform(actions);
}

void GateRunner::SetAdmission(GateAdmission admission) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.SetAdmission(admission, this->clock.Now());
    this->Record(actions);
  }
  this->Perform(actions);
}

void GateRunner::OnTimer() {
  if (this->queued() == 0) {
    return;
  }
  this->RefreshLimits();
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.OnTimer(this->clock.Now());
    this->Record(actions);
  }
  this->Perform(actions);
}

void GateRunner::ProbeDraining() {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->gate.draining()) {
      return;
    }
  }
  this->client->Probe(
      [self = this->shared_from_this()](const TargetReport& report) {
        std::vector<GateAction> actions;
        if (!report.draining && !report.start_id.empty()) {
          const std::lock_guard lock(self->mutex);
          actions = self->gate.EndDrain(self->clock.Now());
          self->Record(actions);
        }
        self->Perform(actions);
      });
}

TargetConfig GateRunner::config() const {
  const std::lock_guard lock(this->mutex);
  return this->target;
}

std::size_t GateRunner::outstanding() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.in_flight() + this->gate.queued();
}

std::uint32_t GateRunner::in_flight() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.in_flight();
}

std::size_t GateRunner::queued() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.queued();
}

std::uint32_t GateRunner::window() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.window();
}

bool GateRunner::cold() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.cold();
}

void GateRunner::Perform(const std::vector<GateAction>& actions) {
  for (const GateAction& action : actions) {
    if (const auto* dispatch = std::get_if<DispatchAttempt>(&action)) {
      this->Dispatch(dispatch->id);
    } else if (const auto* reject = std::get_if<RejectAttempt>(&action)) {
      this->Reject(reject->id, reject->reason);
    } else if (const auto* abort = std::get_if<AbortAttempt>(&action)) {
      this->Abort(abort->id);
    }
  }
}

void GateRunner::Dispatch(const AttemptId& id) {
  std::optional<Entry> entry;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(id);
    if (found != this->entries.end()) {
      entry = found->second;
    }
  }
  if (!entry) {
    return;
  }
  const TargetConfig target_config = this->config();
  if (!this->hooks.may_send(target_config)) {
    this->CancelDispatch(id, Reason::kStaleKnowledge);
    return;
  }
  // The attempt already counts as in flight, so a handover report made after
  // this call includes it.
  const GateLimits limits = this->hooks.limits(target_config);
  bool within_limits = false;
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.SetLimits(limits, this->clock.Now());
    this->Record(actions);
    within_limits = this->gate.in_flight() <= this->gate.window();
  }
  this->Perform(actions);
  if (!within_limits) {
    this->CancelDispatch(id, Reason::kNotOwner);
    return;
  }
  if (!this->Authorize(*entry)) {
    this->CancelDispatch(id, Reason::kCancelledByCaller);
    return;
  }
  this->client->Execute(
      entry->request, [self = this->shared_from_this(), id](TargetReply reply) {
        self->OnReply(id, std::move(reply));
      });
}

// The query may have finished since the gate dispatched the attempt; it must
// not report "not run" for work that is sent now.
bool GateRunner::Authorize(const Entry& entry) {
  return !entry.aborted && entry.observer.authorize_dispatch(entry.request.id);
}

void GateRunner::CancelDispatch(const AttemptId& id, Reason reason) {
  boost::asio::post(
      this->context, [self = this->shared_from_this(), id, reason] {
        std::vector<GateAction> actions;
        {
          const std::lock_guard lock(self->mutex);
          actions = self->gate.OnExchangeEnded(id, self->clock.Now());
          self->Record(actions);
        }
        self->Reject(id, reason);
        self->Perform(actions);
      });
}

void GateRunner::Reject(const AttemptId& id, Reason reason) {
  std::optional<Entry> entry = this->TakeEntry(id);
  if (entry) {
    // Posted, so that a query that enqueues work is never notified of its
    // rejection within the same call.
    boost::asio::post(this->context, [entry = std::move(*entry), reason] {
      entry.observer.failure(entry.request.id, {reason, RunState::kNotRun});
    });
  }
}

void GateRunner::Abort(const AttemptId& id) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.aborted) {
      return;
    }
    found->second.aborted = true;
  }
  this->client->Cancel(id);
}

void GateRunner::OnReply(const AttemptId& id, TargetReply reply) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->EndExchange(id, reply);
    this->Record(actions);
  }
  const std::optional<Entry> entry = this->TakeEntry(id);
  if (entry && reply.outcome == ReplyOutcome::kOk) {
    entry->observer.result(id, std::move(reply.result));
  } else if (entry) {
    entry->observer.failure(id, reply.failure);
  }
  this->Perform(actions);
}

std::vector<GateAction> GateRunner::EndExchange(const AttemptId& id,
                                                const TargetReply& reply) {
  const TimePoint now = this->clock.Now();
  if (reply.connection_lost) {
    return this->gate.OnConnectionLost(id, now);
  }
  if (reply.timed_out) {
    return this->gate.OnExchangeEnded(id, now);
  }
  return this->gate.OnReply(id, reply.outcome, reply.report, now);
}

std::optional<GateRunner::Entry> GateRunner::TakeEntry(const AttemptId& id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(found->second);
  this->entries.erase(found);
  return entry;
}

}  // namespace auburnyard
