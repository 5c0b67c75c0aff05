#include "src/daemon/remote_gate_owner.h"

#include <utility>

#include "src/daemon/remote_gate_codec.h"

namespace auburnyard {

namespace {

// Keeps messages well below the limit of the bus, so that one large result does
// not cause the loss of others in its batch.
constexpr std::size_t kBatchBytes = 256 * 1024;
constexpr std::size_t kMaxItemsBytes = 1024 * 1024;

}  // namespace

RemoteGateOwner::RemoteGateOwner(RemoteGateOwnerHooks owner_hooks)
    : hooks(std::move(owner_hooks)) {}

void RemoteGateOwner::OnMessage(const proto::Envelope& envelope,
                                TimePoint now) {
  if (envelope.has_enqueue()) {
    this->OnEnqueue(envelope, now);
  } else if (envelope.has_cancel()) {
    this->OnCancel(envelope);
  }
}

// A repeated attempt identifier comes from a duplicate message; running the
// attempt twice would violate the limit of one run.
bool RemoteGateOwner::Add(const FrontIdentity& front,
                          const SubRequest& request,
                          TimePoint now) {
  const std::lock_guard lock(this->mutex);
  if (this->attempts.contains(request.id)) {
    return false;
  }
  this->attempts[request.id] = {front, request.target, false,
                                request.idempotent};
  Front& entry = this->fronts[front];
  if (entry.outstanding == 0) {
    entry.reported = now;
  }
  ++entry.outstanding;
  return true;
}

void RemoteGateOwner::OnEnqueue(const proto::Envelope& envelope,
                                TimePoint now) {
  const FrontIdentity front{envelope.sender(), envelope.address(),
                            envelope.start_nonce()};
  for (const proto::SubRequest& entry : envelope.enqueue().requests()) {
    const std::optional<SubRequest> request = ReadRequest(entry, now);
    if (request && this->Add(front, *request, now)) {
      this->hooks.enqueue(*request);
    }
  }
}

void RemoteGateOwner::OnCancel(const proto::Envelope& envelope) {
  for (const proto::Cancellation& entry : envelope.cancel().cancellations()) {
    {
      const std::lock_guard lock(this->mutex);
      const auto found = this->attempts.find(entry.attempt());
      if (found == this->attempts.end() ||
          found->second.front.id != envelope.sender()) {
        continue;
      }
    }
    this->hooks.cancel(
        entry.attempt(), entry.target(),
        ParseReason(entry.reason()).value_or(Reason::kCancelledByCaller));
  }
}

void RemoteGateOwner::OnStarted(const AttemptId& attempt) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
      return;
    }
    found->second.started = true;
    this->fronts[found->second.front].started.push_back(attempt);
  }
  this->hooks.request_flush();
}

void RemoteGateOwner::OnFinished(RemoteGateOutcome outcome) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find(outcome.attempt);
    if (found == this->attempts.end()) {
      return;
    }
    Front& front = this->fronts[found->second.front];
    --front.outstanding;
    front.finished.push_back(std::move(outcome));
    this->attempts.erase(found);
  }
  this->hooks.request_flush();
}

void RemoteGateOwner::OnFrontLost(std::string_view id) {
  std::vector<std::pair<AttemptId, std::string>> lost;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [attempt, entry] : this->attempts) {
      if (entry.front.id == id && (!entry.started || entry.idempotent)) {
        lost.emplace_back(attempt, entry.target);
      }
    }
  }
  for (const auto& [attempt, target] : lost) {
    this->hooks.cancel(attempt, target, Reason::kCancelledByCaller);
  }
}

void RemoteGateOwner::Send(const std::string& address, const Front& reports) {
  if (!reports.started.empty()) {
    proto::Envelope envelope;
    for (const AttemptId& attempt : reports.started) {
      envelope.mutable_started()->add_attempts(attempt);
    }
    this->hooks.send(address, std::move(envelope));
  }
  if (!reports.finished.empty() || reports.started.empty()) {
    this->SendOutcomes(address, reports.finished);
  }
}

void RemoteGateOwner::SendOutcomes(
    const std::string& address,
    const std::vector<RemoteGateOutcome>& outcomes) {
  proto::Envelope envelope;
  envelope.mutable_sub_result();
  std::size_t bytes = 0;
  for (const RemoteGateOutcome& outcome : outcomes) {
    proto::SubOutcome& out = *envelope.mutable_sub_result()->add_outcomes();
    WriteOutcome(outcome, out);
    if (outcome.items.size() > kMaxItemsBytes) {
      WriteOutcome({outcome.attempt, false, Reason::kRetryBadReply,
                    RunState::kRun, outcome.snapshot, outcome.range, ""},
                   out);
      out.clear_items();
    }
    bytes += out.items().size();
    if (bytes >= kBatchBytes) {
      this->hooks.send(address, std::move(envelope));
      envelope.Clear();
      envelope.mutable_sub_result();
      bytes = 0;
    }
  }
  if (envelope.sub_result().outcomes_size() > 0 || outcomes.empty()) {
    this->hooks.send(address, std::move(envelope));
  }
}

void RemoteGateOwner::Flush(TimePoint now) {
  std::vector<std::pair<std::string, Front>> reports;
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [identity, front] : this->fronts) {
      if (!front.started.empty() || !front.finished.empty()) {
        reports.emplace_back(identity.address, front);
        front.started.clear();
        front.finished.clear();
        front.reported = now;
      }
    }
    std::erase_if(this->fronts, [](const auto& entry) {
      return entry.second.outstanding == 0;
    });
  }
  for (const auto& [address, front] : reports) {
    this->Send(address, front);
  }
}

// An empty result message is enough to reset the front's timeout.
void RemoteGateOwner::OnTimer(TimePoint now) {
  std::vector<std::string> due;
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [identity, front] : this->fronts) {
      if (front.outstanding > 0 && front.reported + kReportInterval <= now) {
        front.reported = now;
        due.push_back(identity.address);
      }
    }
  }
  for (const std::string& address : due) {
    this->Send(address, Front{});
  }
}

std::size_t RemoteGateOwner::outstanding() {
  const std::lock_guard lock(this->mutex);
  return this->attempts.size();
}

}  // namespace auburnyard
