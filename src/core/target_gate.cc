#include "auburnyard/target_gate.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnyard {

TargetGate::TargetGate(std::string target, GateLimits gate_limits)
    : target_id(std::move(target)),
      limits(gate_limits),
      cold_window(gate_limits.cold_limit) {}

std::uint32_t TargetGate::window() const {
  return this->is_cold ? std::min(this->cold_window, this->limits.slots)
                       : this->limits.slots;
}

std::optional<Reason> TargetGate::Closed() const {
  if (!this->admission.domain_in) {
    return Reason::kDomainOut;
  }
  if (this->admission.leaving) {
    return Reason::kTargetLeaving;
  }
  if (this->is_draining) {
    return Reason::kRetryTargetDraining;
  }
  return std::nullopt;
}

std::vector<GateAction> TargetGate::Enqueue(const GateRequest& request,
                                            TimePoint now) {
  std::vector<GateAction> actions;
  if (const std::optional<Reason> closed = this->Closed()) {
    actions.emplace_back(RejectAttempt{request.id, *closed});
    return actions;
  }
  if (this->waiting.size() >= this->limits.queue_length) {
    actions.emplace_back(RejectAttempt{request.id, Reason::kQueueFull});
    return actions;
  }
  this->waiting.push_back({request, now, this->next_sequence++});
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::Cancel(const AttemptId& id,
                                           Reason reason,
                                           TimePoint now) {
  std::vector<GateAction> actions;
  const auto queued = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&id](const Waiting& entry) { return entry.request.id == id; });
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    actions.emplace_back(RejectAttempt{id, reason});
  } else if (this->running.contains(id)) {
    // The slot stays in use until the target has answered or the connection is
    // closed.
    actions.emplace_back(AbortAttempt{id, reason});
  }
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::OnReply(const AttemptId& id,
                                            ReplyOutcome outcome,
                                            const TargetReport& report,
                                            TimePoint now) {
  std::vector<GateAction> actions;
  this->running.erase(id);
  this->is_draining = report.draining;
  if (report.start_id != this->start_id) {
    this->start_id = report.start_id;
    this->BecomeCold(actions);
  }
  if (this->is_cold && outcome == ReplyOutcome::kOk) {
    // One more request in parallel for each full round of successes.
    ++this->cold_successes;
    if (this->cold_successes >= this->cold_window) {
      this->cold_successes = 0;
      ++this->cold_window;
    }
    this->is_cold = this->cold_window < this->limits.slots;
  }
  if (const std::optional<Reason> closed = this->Closed()) {
    this->RejectAll(*closed, actions);
  }
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::OnNotSent(const AttemptId& id,
                                              TimePoint now) {
  std::vector<GateAction> actions;
  this->running.erase(id);
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::OnConnectionLost(const AttemptId& id,
                                                     TimePoint now) {
  std::vector<GateAction> actions;
  this->running.erase(id);
  this->BecomeCold(actions);
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::SetLimits(GateLimits gate_limits,
                                              TimePoint now) {
  std::vector<GateAction> actions;
  this->limits = gate_limits;
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::SetAdmission(GateAdmission gate_admission,
                                                 TimePoint now) {
  std::vector<GateAction> actions;
  this->admission = gate_admission;
  if (const std::optional<Reason> closed = this->Closed()) {
    this->RejectAll(*closed, actions);
  }
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> TargetGate::OnTimer(TimePoint now) {
  std::vector<GateAction> actions;
  std::erase_if(this->waiting, [now, &actions](const Waiting& entry) {
    if (entry.request.deadline > now) {
      return false;
    }
    actions.emplace_back(
        RejectAttempt{entry.request.id, Reason::kDeadlineElapsed});
    return true;
  });
  this->Fill(now, actions);
  return actions;
}

void TargetGate::BecomeCold(std::vector<GateAction>& actions) {
  this->is_cold = true;
  this->cold_successes = 0;
  this->cold_window = this->limits.cold_limit;
  if (this->running.size() <= this->cold_window) {
    return;
  }
  std::size_t excess = this->running.size() - this->cold_window;
  for (const auto& [id, request] : this->running) {
    if (excess == 0) {
      break;
    }
    if (request.idempotent) {
      actions.emplace_back(AbortAttempt{id, Reason::kTargetColdLimit});
      --excess;
    }
  }
}

void TargetGate::Fill(TimePoint now, std::vector<GateAction>& actions) {
  while (!this->waiting.empty() && this->running.size() < this->window() &&
         !this->Closed()) {
    const auto next = std::min_element(
        this->waiting.begin(), this->waiting.end(),
        [](const Waiting& left, const Waiting& right) {
          return std::tie(left.request.priority, left.request.deadline,
                          left.sequence) < std::tie(right.request.priority,
                                                    right.request.deadline,
                                                    right.sequence);
        });
    const GateRequest request = next->request;
    this->waiting.erase(next);
    if (request.deadline <= now) {
      actions.emplace_back(RejectAttempt{request.id, Reason::kDeadlineElapsed});
      continue;
    }
    this->running.emplace(request.id, request);
    actions.emplace_back(DispatchAttempt{request.id});
  }
}

void TargetGate::RejectAll(Reason reason, std::vector<GateAction>& actions) {
  for (const Waiting& entry : this->waiting) {
    actions.emplace_back(RejectAttempt{entry.request.id, reason});
  }
  this->waiting.clear();
}

}  // namespace auburnyard
