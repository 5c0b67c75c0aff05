#include "auburnyard/query_machine.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

QueryMachine::QueryMachine(std::string decision,
                           QueryRequest query,
                           std::shared_ptr<const ShardMap> shard_map,
                           QueryPolicy query_policy,
                           QueryHooks query_hooks,
                           TimePoint now)
    : decision_id(std::move(decision)),
      request(std::move(query)),
      policy(query_policy),
      hooks(std::move(query_hooks)),
      deadline_at(now + this->request.deadline),
      attempts(this->decision_id) {
  this->PinMap(std::move(shard_map));
}

void QueryMachine::PinMap(std::shared_ptr<const ShardMap> newest) {
  this->map = std::move(newest);
  this->merger.emplace(*this->map, this->policy.merge_limits);
  this->shards.assign(this->map->shards.size(), {});
  this->done_shards = 0;
  this->any_failed = false;
  ++this->generation;
}

std::vector<QueryAction> QueryMachine::Start(TimePoint now) {
  Actions actions;
  if (this->hooks.on_first_attempt) {
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
      this->hooks.on_first_attempt();
    }
  }
  this->StartShards(Reason::kFirstAttempt, now, actions);
  return actions;
}

void QueryMachine::StartShards(Reason reason, TimePoint now, Actions& actions) {
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    if (const std::optional<Replica> replica = this->PickReplica(i)) {
      this->StartAt(i, replica->target, reason, true, now, actions);
    } else {
      this->shards[i].failure = Reason::kNoReplicaLeft;
      this->any_failed = true;
      this->Note(Reason::kNoReplicaLeft);
    }
  }
  this->CheckCompletion(now, actions);
}

void QueryMachine::StartAt(std::size_t shard,
                           const std::string& target,
                           Reason reason,
                           bool charged,
                           TimePoint now,
                           Actions& actions) {
  ShardState& state = this->shards[shard];
  Attempt& attempt = this->attempts.Add({.id = {},
                                         .target = target,
                                         .shard = shard,
                                         .generation = this->generation,
                                         .charged = charged});
  state.attempts.push_back(&attempt);
  state.tried.push_back(target);
  state.retry_at.reset();
  state.hedge_at = now + this->policy.hedge_delay;
  const Shard& part = this->map->shards[shard];
  actions.emplace_back(StartAttempt{attempt.id, target, part.id, part.range,
                                    this->map->snapshot, reason});
}

bool QueryMachine::MayDispatch(const AttemptId& id) {
  const Attempt* attempt = this->attempts.Find(id);
  return !this->is_finished && !this->closing_until && attempt != nullptr &&
         this->Live(*attempt);
}

std::vector<QueryAction> QueryMachine::OnDispatched(const AttemptId& id,
                                                    TimePoint now) {
  Actions actions;
  Attempt* attempt = this->attempts.Find(id);
  if (attempt == nullptr || this->is_finished) {
    return actions;
  }
  attempt->dispatched = true;
  if (attempt->generation == this->generation && !attempt->ended) {
    this->ChargeTiedHedge(*attempt, this->shards[attempt->shard]);
  }
  if (this->Live(*attempt)) {
    ShardState& state = this->shards[attempt->shard];
    state.hedge_at = now + this->policy.hedge_delay;
    for (Attempt* other : state.attempts) {
      if (this->Live(*other) && !other->dispatched) {
        other->cancelled = true;
        std::erase(state.tried, other->target);
        actions.emplace_back(CancelAttempt{other->id, other->target,
                                           Reason::kCancelledByWinner});
      }
    }
  }
  this->CheckCompletion(now, actions);
  return actions;
}

// A hedge of a queued attempt takes no token, because one of the two is
// normally cancelled before its dispatch. If both owners dispatched before the
// cancellation arrived, the token is taken afterwards.
void QueryMachine::ChargeTiedHedge(Attempt& attempt, ShardState& state) const {
  for (Attempt* other : state.attempts) {
    if (other == &attempt || other->ended || !other->dispatched) {
      continue;
    }
    for (Attempt* one : {&attempt, other}) {
      if (!one->charged) {
        one->charged = true;
        this->TakeHedgeToken();
      }
    }
  }
}

std::vector<QueryAction> QueryMachine::OnResult(const AttemptId& id,
                                                PartialResult result,
                                                TimePoint now) {
  Actions actions;
  Attempt* attempt = this->attempts.Find(id);
  if (attempt == nullptr) {
    this->DiscardReply();
    return actions;
  }
  if (!result.attempt.empty() && result.attempt != id) {
    this->DiscardReply();
    return this->OnFailure(id, {Reason::kRetryBadReply, RunState::kUnknown},
                           now);
  }
  attempt->ended = RunState::kRun;
  const std::size_t done_before = this->done_shards;
  if (this->is_finished || attempt->generation != this->generation ||
      this->shards[attempt->shard].done) {
    this->DiscardReply();
  } else if (result.snapshot != this->map->snapshot) {
    this->DiscardReply();
    this->OnSnapshotChanged(attempt->shard, now, actions);
  } else {
    this->Merge(*attempt, std::move(result), now, actions);
  }
  this->any_failed = this->any_failed || this->done_shards == done_before;
  this->CheckCompletion(now, actions);
  return actions;
}

void QueryMachine::Merge(Attempt& attempt,
                         PartialResult result,
                         TimePoint now,
                         Actions& actions) {
  const std::size_t shard = attempt.shard;
  const bool expected = result.range == this->map->shards[shard].range;
  const MergeOutcome outcome =
      expected ? this->merger->Add(result.range, std::move(result.items))
               : MergeOutcome::kWrongRange;
  switch (outcome) {
    case MergeOutcome::kMerged:
      this->shards[shard].done = true;
      ++this->done_shards;
      this->shards[shard].retry_at.reset();
      this->CancelShard(this->shards[shard], Reason::kCancelledByWinner,
                        actions);
      return;
    case MergeOutcome::kTooLarge:
      this->answer_too_large = true;
      this->Close(Reason::kCoverageTooLow, now, actions);
      return;
    case MergeOutcome::kWrongRange:
      this->DiscardReply();
      this->OnShardFailed(shard, Reason::kRetryBadReply, true, now, actions);
      return;
  }
}

std::vector<QueryAction> QueryMachine::OnFailure(const AttemptId& id,
                                                 AttemptFailure failure,
                                                 TimePoint now) {
  Actions actions;
  Attempt* attempt = this->attempts.Find(id);
  if (attempt == nullptr) {
    return actions;
  }
  const bool live = this->Live(*attempt);
  // A later message may only replace an unknown run state.
  if (!attempt->ended || attempt->ended == RunState::kUnknown) {
    attempt->ended = failure.run;
  }
  this->any_failed = true;
  if (live) {
    const bool charged = attempt->dispatched && failure.sent;
    if (failure.reason == Reason::kRestartSnapshotChanged) {
      this->OnSnapshotChanged(attempt->shard, now, actions);
    } else if (this->MayRetry(*attempt, failure)) {
      this->OnShardFailed(attempt->shard, failure.reason, charged, now,
                          actions);
    } else {
      this->shards[attempt->shard].failure = failure.reason;
    }
  }
  this->CheckCompletion(now, actions);
  return actions;
}

bool QueryMachine::MayRetry(const Attempt& attempt,
                            const AttemptFailure& failure) const {
  return this->request.idempotent || (failure.run == RunState::kNotRun &&
                                      (!attempt.dispatched || !failure.sent));
}

// Work that was rejected before its dispatch moves to an untried replica
// without a retry token, because it caused no load on a target. Everything else
// is a retry.
void QueryMachine::OnShardFailed(std::size_t shard,
                                 Reason reason,
                                 bool charged,
                                 TimePoint now,
                                 Actions& actions) {
  ShardState& state = this->shards[shard];
  state.failure = reason;
  if (this->is_finished || this->closing_until || state.done ||
      this->AnyLive(state)) {
    return;
  }
  const std::optional<Replica> replica = this->PickReplica(shard);
  if (!replica) {
    this->Note(Reason::kNoReplicaLeft);
    return;
  }
  if ((charged || replica->tried) && !this->TakeRetryToken(state)) {
    return;
  }
  if (!replica->tried) {
    this->StartAt(shard, replica->target, reason, true, now, actions);
    return;
  }
  const Duration delay = this->policy.retry_delay * (1U << (state.retries - 1));
  if (now + delay < this->LatestFinish()) {
    state.retry_at = now + delay;
  }
}

bool QueryMachine::TakeRetryToken(ShardState& state) {
  if (state.retries >= this->policy.max_retries ||
      !this->hooks.take_retry_token || !this->hooks.take_retry_token()) {
    this->Note(Reason::kRetryBudgetEmpty);
    return false;
  }
  ++state.retries;
  return true;
}

bool QueryMachine::TakeHedgeToken() const {
  return this->hooks.take_hedge_token && this->hooks.take_hedge_token();
}

void QueryMachine::OnSnapshotChanged(std::size_t shard,
                                     TimePoint now,
                                     Actions& actions) {
  std::shared_ptr<const ShardMap> newest =
      this->hooks.newest_map ? this->hooks.newest_map() : nullptr;
  if (this->MayRestart(newest.get(), now)) {
    this->CancelLive(Reason::kRestartSnapshotChanged, actions);
    ++this->restarts;
    this->PinMap(std::move(newest));
    this->StartShards(Reason::kRestartSnapshotChanged, now, actions);
    return;
  }
  // Another replica may still hold the pinned snapshot.
  if (this->request.idempotent) {
    this->OnShardFailed(shard, Reason::kRestartSnapshotChanged, true, now,
                        actions);
  } else {
    this->shards[shard].failure = Reason::kRestartSnapshotChanged;
  }
}

// A non-idempotent query never restarts, because a snapshot change is detected
// only after a dispatch.
bool QueryMachine::MayRestart(const ShardMap* newest, TimePoint now) {
  return this->request.idempotent && !this->is_finished &&
         !this->closing_until && newest != nullptr &&
         newest->snapshot != this->map->snapshot &&
         newest->revision >= this->map->revision &&
         this->restarts < this->policy.max_restarts &&
         now < this->LatestFinish() && this->hooks.take_retry_token &&
         this->hooks.take_retry_token();
}

std::vector<QueryAction> QueryMachine::OnTimer(TimePoint now) {
  Actions actions;
  if (this->is_finished) {
    return actions;
  }
  if (this->closing_until) {
    if (now >= *this->closing_until) {
      this->Finish(actions);
    }
    return actions;
  }
  if (now >= this->LatestFinish()) {
    this->Close(this->policy.early_answer ? Reason::kEarlyAnswer
                                          : Reason::kDeadlineElapsed,
                now, actions);
    return actions;
  }
  this->RunDueRetries(now, actions);
  this->RunDueHedges(now, actions);
  this->CheckCompletion(now, actions);
  return actions;
}

void QueryMachine::RunDueRetries(TimePoint now, Actions& actions) {
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    ShardState& state = this->shards[i];
    if (!state.retry_at || now < *state.retry_at) {
      continue;
    }
    state.retry_at.reset();
    if (const std::optional<Replica> replica = this->PickReplica(i)) {
      this->StartAt(i, replica->target,
                    state.failure.value_or(Reason::kFirstAttempt), true, now,
                    actions);
    }
  }
}

void QueryMachine::RunDueHedges(TimePoint now, Actions& actions) {
  if (!this->request.idempotent ||
      this->policy.hedge_delay <= Duration::zero()) {
    return;
  }
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    const ShardState& state = this->shards[i];
    if (!state.done && now >= state.hedge_at && this->AnyLive(state)) {
      this->Hedge(i, now, actions);
    }
  }
}

void QueryMachine::Hedge(std::size_t shard, TimePoint now, Actions& actions) {
  ShardState& state = this->shards[shard];
  const bool free = !this->AnyLiveDispatched(state);
  const std::optional<Replica> replica = this->PickReplica(shard);
  // A tried target has just failed or rejected the shard, so it gets no hedge.
  if (!replica || replica->tried ||
      (!free && state.hedges >= this->policy.max_hedges)) {
    state.hedge_at = TimePoint::max();
    return;
  }
  if (!free && !this->TakeHedgeToken()) {
    this->Note(Reason::kHedgeBudgetEmpty);
    state.hedge_at = now + this->policy.hedge_delay;
    return;
  }
  state.hedges += free ? 0 : 1;
  this->StartAt(shard, replica->target, Reason::kHedgeDelayElapsed, !free, now,
                actions);
}

std::optional<TimePoint> QueryMachine::NextTimer() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  if (this->closing_until) {
    return this->closing_until;
  }
  TimePoint next = this->LatestFinish();
  const bool hedging =
      this->request.idempotent && this->policy.hedge_delay > Duration::zero();
  for (const ShardState& state : this->shards) {
    if (state.retry_at) {
      next = std::min(next, *state.retry_at);
    }
    if (hedging && !state.done && state.hedge_at < next &&
        this->AnyLive(state)) {
      next = state.hedge_at;
    }
  }
  return next;
}

std::optional<QueryMachine::Replica> QueryMachine::PickReplica(
    std::size_t shard) const {
  const ShardState& state = this->shards[shard];
  std::optional<Replica> repeated;
  for (const std::string& target :
       this->hooks.order_replicas(this->map->shards[shard], state.tried)) {
    const bool busy =
        std::any_of(state.attempts.begin(), state.attempts.end(),
                    [this, &target](const Attempt* attempt) {
                      return attempt->target == target && this->Live(*attempt);
                    });
    if (busy) {
      continue;
    }
    if (std::find(state.tried.begin(), state.tried.end(), target) ==
        state.tried.end()) {
      return Replica{target, false};
    }
    if (!repeated) {
      repeated = Replica{target, true};
    }
  }
  return repeated;
}

bool QueryMachine::Live(const Attempt& attempt) const {
  return !attempt.ended && !attempt.cancelled &&
         attempt.generation == this->generation;
}

bool QueryMachine::AnyLive(const ShardState& state) const {
  return std::any_of(
      state.attempts.begin(), state.attempts.end(),
      [this](const Attempt* attempt) { return this->Live(*attempt); });
}

bool QueryMachine::AnyLiveDispatched(const ShardState& state) const {
  return std::any_of(state.attempts.begin(), state.attempts.end(),
                     [this](const Attempt* attempt) {
                       return this->Live(*attempt) && attempt->dispatched;
                     });
}

void QueryMachine::Note(Reason reason) const {
  if (this->hooks.note) {
    this->hooks.note(reason);
  }
}

void QueryMachine::DiscardReply() {
  ++this->discarded;
  this->Note(Reason::kReplyDiscarded);
}

}  // namespace auburnyard
