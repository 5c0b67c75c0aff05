#include "src/daemon/remote_gate_front.h"

#include <algorithm>
#include <utility>

#include "src/daemon/remote_gate_codec.h"

namespace auburnyard {

RemoteGateFront::RemoteGateFront(RemoteGateFrontHooks front_hooks)
    : hooks(std::move(front_hooks)) {}

void RemoteGateFront::Enqueue(const HostRecord& owner,
                              SubRequest request,
                              TimePoint now) {
  std::vector<AttemptId> lost;
  {
    const std::lock_guard lock(this->mutex);
    Owner& entry = this->owners[owner.id];
    if (entry.nonce != owner.nonce) {
      lost = this->TakeAttempts(owner.id);
      entry = Owner{};
      entry.address = owner.address;
      entry.nonce = owner.nonce;
    }
    // The timeout starts with the first outstanding attempt.
    if (entry.outstanding == 0) {
      entry.last_received = now;
    }
    ++entry.outstanding;
    this->attempts[request.id] = {owner.id, request.target};
    entry.unsent.push_back(std::move(request));
  }
  this->Fail(lost, Reason::kRetryOwnerSilent, RunState::kUnknown);
  this->hooks.request_flush();
}

void RemoteGateFront::Cancel(const AttemptId& attempt, Reason reason) {
  bool unsent = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
      return;
    }
    Owner& owner = this->owners.at(found->second.owner);
    unsent = std::erase_if(owner.unsent, [&attempt](const auto& request) {
               return request.id == attempt;
             }) > 0;
    if (unsent) {
      this->EraseAttempt(attempt);
    } else {
      proto::Cancellation cancellation;
      cancellation.set_attempt(attempt);
      cancellation.set_target(found->second.target);
      cancellation.set_reason(std::string(ToString(reason)));
      owner.cancellations.push_back(std::move(cancellation));
    }
  }
  if (unsent) {
    this->Fail({attempt}, reason, RunState::kNotRun);
  } else {
    this->hooks.request_flush();
  }
}

RemoteGateFront::Batch RemoteGateFront::TakeBatch(Owner& owner, TimePoint now) {
  Batch batch;
  batch.address = owner.address;
  for (const SubRequest& request : owner.unsent) {
    WriteRequest(request, now,
                 *batch.requests.mutable_enqueue()->add_requests());
    batch.attempts.push_back(request.id);
  }
  for (const proto::Cancellation& cancellation : owner.cancellations) {
    *batch.cancellations.mutable_cancel()->add_cancellations() = cancellation;
  }
  owner.unsent.clear();
  owner.cancellations.clear();
  return batch;
}

void RemoteGateFront::Flush(TimePoint now) {
  std::vector<Batch> batches;
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [id, owner] : this->owners) {
      if (!owner.unsent.empty() || !owner.cancellations.empty()) {
        batches.push_back(this->TakeBatch(owner, now));
      }
    }
  }
  for (Batch& batch : batches) {
    this->SendBatch(std::move(batch));
  }
}

void RemoteGateFront::SendBatch(Batch batch) {
  if (batch.requests.has_enqueue() &&
      !this->hooks.send(batch.address, std::move(batch.requests))) {
    std::vector<AttemptId> unsent;
    {
      const std::lock_guard lock(this->mutex);
      for (const AttemptId& attempt : batch.attempts) {
        if (this->EraseAttempt(attempt)) {
          unsent.push_back(attempt);
        }
      }
    }
    this->Fail(unsent, Reason::kRetryConnectionFailed, RunState::kNotRun);
  }
  if (batch.cancellations.has_cancel()) {
    this->hooks.send(batch.address, std::move(batch.cancellations));
  }
}

void RemoteGateFront::OnMessage(const proto::Envelope& envelope,
                                TimePoint now) {
  std::vector<AttemptId> started;
  std::vector<RemoteGateOutcome> outcomes;
  {
    const std::lock_guard lock(this->mutex);
    const auto owner = this->owners.find(envelope.sender());
    if (owner == this->owners.end() ||
        owner->second.nonce != envelope.start_nonce()) {
      return;
    }
    owner->second.last_received = now;
    // An attempt that is not outstanding was abandoned earlier.
    for (const std::string& attempt : envelope.started().attempts()) {
      if (this->attempts.contains(attempt)) {
        started.push_back(attempt);
      }
    }
    for (const proto::SubOutcome& outcome : envelope.sub_result().outcomes()) {
      if (this->EraseAttempt(outcome.attempt())) {
        outcomes.push_back(ReadOutcome(outcome));
      }
    }
  }
  for (const AttemptId& attempt : started) {
    this->hooks.on_started(attempt);
  }
  for (RemoteGateOutcome& outcome : outcomes) {
    this->hooks.on_outcome(std::move(outcome));
  }
}

bool RemoteGateFront::EraseAttempt(const AttemptId& attempt) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return false;
  }
  --this->owners.at(found->second.owner).outstanding;
  this->attempts.erase(found);
  return true;
}

std::vector<AttemptId> RemoteGateFront::TakeAttempts(std::string_view owner) {
  std::vector<AttemptId> taken;
  for (const auto& [attempt, entry] : this->attempts) {
    if (entry.owner == owner) {
      taken.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : taken) {
    this->EraseAttempt(attempt);
  }
  return taken;
}

void RemoteGateFront::Fail(const std::vector<AttemptId>& failed,
                           Reason reason,
                           RunState run) {
  for (const AttemptId& attempt : failed) {
    RemoteGateOutcome outcome;
    outcome.attempt = attempt;
    outcome.reason = reason;
    outcome.run = run;
    this->hooks.on_outcome(std::move(outcome));
  }
}

// Sent attempts may have been dispatched; those that were not sent did not run.
void RemoteGateFront::OnOwnerLost(std::string_view id) {
  std::vector<AttemptId> unsent;
  std::vector<AttemptId> sent;
  {
    const std::lock_guard lock(this->mutex);
    const auto owner = this->owners.find(id);
    if (owner == this->owners.end()) {
      return;
    }
    for (const SubRequest& request : owner->second.unsent) {
      this->EraseAttempt(request.id);
      unsent.push_back(request.id);
    }
    sent = this->TakeAttempts(id);
    this->owners.erase(owner);
  }
  this->Fail(unsent, Reason::kRetryOwnerSilent, RunState::kNotRun);
  this->Fail(sent, Reason::kRetryOwnerSilent, RunState::kUnknown);
}

void RemoteGateFront::OnTimer(TimePoint now) {
  std::vector<std::string> timed_out;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, owner] : this->owners) {
      if (owner.outstanding > 0 && owner.last_received + kOwnerTimeout <= now) {
        timed_out.push_back(id);
      }
    }
  }
  for (const std::string& owner : timed_out) {
    this->OnOwnerLost(owner);
    this->hooks.on_owner_timeout(owner);
  }
}

std::size_t RemoteGateFront::outstanding() {
  const std::lock_guard lock(this->mutex);
  return this->attempts.size();
}

}  // namespace auburnyard
