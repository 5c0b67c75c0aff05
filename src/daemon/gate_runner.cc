#include "src/daemon/gate_runner.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace auburnyard {

GateRunner::GateRunner(boost::asio::io_context& io_context,
                       const Clock& runtime_clock,
                       const TargetConfig& target_config,
                       GateLimits limits)
    : context(io_context),
      clock(runtime_clock),
      target(target_config),
      client(std::make_shared<TargetClient>(io_context,
                                            target_config,
                                            runtime_clock)),
      gate(target_config.id, limits) {}

void GateRunner::Enqueue(const SubRequest& request,
                         SubRequestObserver observer) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    this->entries.emplace(request.id, Entry{request, std::move(observer)});
    const GateRequest waiting{request.id, request.priority, request.deadline,
                              request.idempotent};
    actions = this->gate.Enqueue(waiting, this->clock.Now());
  }
  this->Perform(actions);
}

void GateRunner::Cancel(const AttemptId& id, Reason reason) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.Cancel(id, reason, this->clock.Now());
  }
  this->Perform(actions);
}

void GateRunner::Configure(const TargetConfig& target_config,
                           GateLimits limits) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    this->target = target_config;
    actions = this->gate.SetLimits(limits, this->clock.Now());
  }
  this->Perform(actions);
}

void GateRunner::SetAdmission(GateAdmission admission) {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.SetAdmission(admission, this->clock.Now());
  }
  this->Perform(actions);
}

void GateRunner::OnTimer() {
  std::vector<GateAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->gate.OnTimer(this->clock.Now());
  }
  this->Perform(actions);
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

std::optional<std::uint32_t> GateRunner::reported_load() const {
  const std::lock_guard lock(this->mutex);
  return this->last_load;
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
  // The query may have finished since the gate decided; it must not report "not
  // run" for work that is sent now.
  if (!entry || entry->aborted || !entry->observer.authorize_dispatch(id)) {
    boost::asio::post(this->context, [self = this->shared_from_this(), id] {
      std::vector<GateAction> actions;
      {
        const std::lock_guard lock(self->mutex);
        actions = self->gate.OnExchangeEnded(id, self->clock.Now());
      }
      self->Reject(id, Reason::kCancelledByCaller);
      self->Perform(actions);
    });
    return;
  }
  this->client->Execute(
      entry->request, [self = this->shared_from_this(), id](TargetReply reply) {
        self->OnReply(id, std::move(reply));
      });
}

void GateRunner::Reject(const AttemptId& id, Reason reason) {
  std::optional<Entry> entry = this->TakeEntry(id);
  if (entry) {
    // Posted, so that a query that enqueues work never hears of its rejection
    // within the same call.
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
    if (reply.report.load) {
      this->last_load = reply.report.load;
    }
    actions = reply.connection_lost
                  ? this->gate.OnConnectionLost(id, this->clock.Now())
                  : this->gate.OnReply(id, reply.outcome, reply.report,
                                       this->clock.Now());
  }
  const std::optional<Entry> entry = this->TakeEntry(id);
  if (entry && reply.outcome == ReplyOutcome::kOk) {
    entry->observer.result(id, std::move(reply.result));
  } else if (entry) {
    entry->observer.failure(id, reply.failure);
  }
  this->Perform(actions);
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
