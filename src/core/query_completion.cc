// Completion of a query: when it ends, and with which answer or refusal.
#include <algorithm>
#include <utility>

#include "auburnyard/query_machine.h"

namespace auburnyard {

namespace {

// The deadline margin is at most a quarter of the deadline; otherwise a query
// with a short deadline would have no time to run.
constexpr int kMarginDivisor = 4;

bool IsShedding(std::optional<Reason> reason) {
  return reason == Reason::kQueueFull || reason == Reason::kQueueDelay ||
         reason == Reason::kDeadlineTooShort ||
         reason == Reason::kTargetSlotsBusy ||
         reason == Reason::kTargetColdLimit;
}

}  // namespace

TimePoint QueryMachine::LatestFinish() const {
  // A dispatched non-idempotent request waits for its outcome until the
  // deadline.
  if (!this->policy.early_answer ||
      (!this->request.idempotent && this->attempts.AnyDispatched())) {
    return this->deadline_at;
  }
  return this->deadline_at -
         std::min<Duration>(this->policy.deadline_margin,
                            this->request.deadline / kMarginDivisor);
}

double QueryMachine::RequiredCoverage() const {
  return std::max(this->request.min_coverage, this->policy.min_coverage);
}

bool QueryMachine::CanAnswer() const {
  const double fraction = this->merger->coverage().Fraction();
  return !this->answer_too_large && fraction > 0 &&
         fraction >= this->RequiredCoverage();
}

bool QueryMachine::Exhausted(const ShardState& state) const {
  return !state.done && !state.retry_at && !this->AnyLive(state);
}

bool QueryMachine::CoverageReachable() const {
  std::vector<KeyRange> ranges;
  for (const Shard& shard : this->map->shards) {
    ranges.push_back(shard.range);
  }
  Coverage best(std::move(ranges));
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    if (!this->Exhausted(this->shards[i])) {
      best.Add(this->map->shards[i].range);
    }
  }
  return best.Fraction() >= this->RequiredCoverage();
}

void QueryMachine::CheckCompletion(TimePoint now, Actions& actions) {
  if (this->is_finished) {
    return;
  }
  if (this->closing_until) {
    const bool run_state_final =
        this->attempts.AllEnded() ||
        (this->request.idempotent && !this->attempts.CanBeNotRun());
    if (run_state_final || this->CanAnswer()) {
      this->Finish(actions);
    }
    return;
  }
  if (this->done_shards == this->shards.size()) {
    this->Close(Reason::kCompleted, now, actions);
    return;
  }
  if (!this->any_failed) {
    return;
  }
  const auto exhausted = static_cast<std::size_t>(std::count_if(
      this->shards.begin(), this->shards.end(),
      [this](const ShardState& state) { return this->Exhausted(state); }));
  if (exhausted + this->done_shards == this->shards.size()) {
    this->Close(Reason::kCompleted, now, actions);
  } else if (exhausted > 0 &&
             (this->request.idempotent || !this->attempts.AnyDispatched()) &&
             !this->CoverageReachable()) {
    this->Close(Reason::kCoverageTooLow, now, actions);
  }
}

// Answers the query, or cancels the remaining attempts and refuses it. A
// refusal waits briefly if the confirmed ends of the cancelled attempts can
// make its run state exact.
void QueryMachine::Close(Reason reason, TimePoint now, Actions& actions) {
  this->end_reason = reason;
  for (ShardState& state : this->shards) {
    state.retry_at.reset();
  }
  if (!this->CanAnswer()) {
    this->CancelLive(
        reason == Reason::kEarlyAnswer ? Reason::kDeadlineElapsed : reason,
        actions);
    const bool open = !this->attempts.AllEnded() && now < this->deadline_at;
    if (open && !this->request.idempotent) {
      this->closing_until = this->deadline_at;
      return;
    }
    if (open && this->attempts.CanBeNotRun()) {
      this->closing_until =
          std::min(this->deadline_at, now + this->policy.confirm_wait);
      return;
    }
  }
  this->Finish(actions);
}

std::vector<QueryAction> QueryMachine::OnCallerGone(TimePoint now) {
  Actions actions;
  if (this->is_finished) {
    return actions;
  }
  if (this->request.idempotent) {
    this->is_finished = true;
    this->CancelLive(Reason::kCancelledByCaller, actions);
  } else if (!this->closing_until) {
    this->Close(Reason::kCancelledByCaller, now, actions);
  }
  return actions;
}

void QueryMachine::CancelShard(ShardState& state,
                               Reason reason,
                               Actions& actions) const {
  for (Attempt* attempt : state.attempts) {
    // The outcome of a dispatched non-idempotent attempt would be lost if it
    // were cancelled.
    if (this->Live(*attempt) &&
        (this->request.idempotent || !attempt->dispatched)) {
      attempt->cancelled = true;
      actions.emplace_back(CancelAttempt{attempt->id, attempt->target, reason});
    }
  }
}

void QueryMachine::CancelLive(Reason reason, Actions& actions) {
  for (ShardState& state : this->shards) {
    this->CancelShard(state, reason, actions);
  }
}

ErrorKind QueryMachine::RefusalKind(RunState run) const {
  const auto any = [this](auto matches) {
    return std::any_of(
        this->shards.begin(), this->shards.end(),
        [&matches](const ShardState& s) { return matches(s.failure); });
  };
  if (this->answer_too_large) {
    return ErrorKind::kAnswerTooLarge;
  }
  if (!this->request.idempotent && run == RunState::kUnknown) {
    return ErrorKind::kOutcomeUnknown;
  }
  if (this->end_reason == Reason::kEarlyAnswer ||
      this->end_reason == Reason::kDeadlineElapsed) {
    return ErrorKind::kDeadlineExceeded;
  }
  if (any([](std::optional<Reason> reason) {
        return reason == Reason::kRestartSnapshotChanged;
      })) {
    return ErrorKind::kSnapshotLost;
  }
  if (this->merger->coverage().Fraction() > 0) {
    return ErrorKind::kCoverageTooLow;
  }
  return any(IsShedding) ? ErrorKind::kOverloaded : ErrorKind::kNoCapacity;
}

void QueryMachine::Finish(Actions& actions) {
  this->is_finished = true;
  const Coverage& coverage = this->merger->coverage();
  const double fraction = coverage.Fraction();
  if (this->CanAnswer()) {
    this->CancelLive(this->end_reason == Reason::kCompleted
                         ? Reason::kCancelledByWinner
                         : this->end_reason,
                     actions);
    Answer answer;
    answer.service = this->request.service;
    answer.snapshot = this->map->snapshot;
    answer.coverage = fraction;
    answer.missing = coverage.Missing();
    answer.results = this->merger->TakeItems();
    answer.decision = this->decision_id;
    actions.emplace_back(FinishWithAnswer{std::move(answer), this->end_reason});
    return;
  }
  Refusal refusal;
  refusal.decision = this->decision_id;
  refusal.run = this->attempts.CombinedRunState();
  refusal.kind = this->RefusalKind(refusal.run);
  refusal.idempotent = this->request.idempotent;
  refusal.detail = "coverage " + std::to_string(fraction) +
                   " of the required " +
                   std::to_string(this->RequiredCoverage()) + " was reached";
  actions.emplace_back(FinishWithRefusal{std::move(refusal), this->end_reason});
}

}  // namespace auburnyard
