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
      deadline_at(now + this->request.deadline) {
  this->PinMap(std::move(shard_map));
}

void QueryMachine::PinMap(std::shared_ptr<const ShardMap> shard_map) {
  this->map = std::move(shard_map);
  std::vector<KeyRange> ranges;
  for (const Shard& shard : this->map->shards) {
    ranges.push_back(shard.range);
  }
  this->coverage.emplace(std::move(ranges));
  this->items.clear();
  this->shards.assign(this->map->shards.size(), {});
}

std::vector<QueryAction> QueryMachine::Start(TimePoint now) {
  std::vector<QueryAction> actions;
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    this->StartShard(i, Reason::kFirstAttempt, now, actions);
  }
  this->FinishIfSettled(now, actions);
  return actions;
}

bool QueryMachine::StartShard(std::size_t index,
                              Reason reason,
                              TimePoint now,
                              std::vector<QueryAction>& actions) {
  ShardState& state = this->shards[index];
  const Shard& shard = this->map->shards[index];
  const std::vector<std::string> order =
      this->hooks.order_replicas(shard, state.tried);
  if (order.empty()) {
    return false;
  }
  const std::string& target = order.front();
  const AttemptId id =
      this->decision_id + "." + std::to_string(this->next_attempt++);
  this->attempts.emplace(id, Attempt{.shard = index, .target = target});
  state.tried.push_back(target);
  ++state.live;
  state.started = now;
  actions.emplace_back(StartAttempt{id, target, shard.id, shard.range,
                                    this->map->snapshot, reason});
  return true;
}

bool QueryMachine::MayDispatch(const AttemptId& id) const {
  const auto found = this->attempts.find(id);
  return !this->is_finished && found != this->attempts.end() &&
         !found->second.done;
}

std::vector<QueryAction> QueryMachine::OnDispatched(const AttemptId& id,
                                                    TimePoint /*now*/) {
  std::vector<QueryAction> actions;
  const auto found = this->attempts.find(id);
  if (found != this->attempts.end()) {
    found->second.dispatched = true;
    this->any_dispatched = true;
  }
  return actions;
}

std::vector<QueryAction> QueryMachine::OnResult(const AttemptId& id,
                                                PartialResult result,
                                                TimePoint now) {
  std::vector<QueryAction> actions;
  const auto found = this->attempts.find(id);
  if (this->is_finished || found == this->attempts.end() ||
      found->second.done) {
    return actions;
  }
  Attempt& attempt = found->second;
  attempt.done = true;
  this->any_ran = true;
  ShardState& state = this->shards[attempt.shard];
  --state.live;
  if (result.snapshot != this->map->snapshot) {
    this->Restart(now, actions);
    return actions;
  }
  const bool expected = result.range == this->map->shards[attempt.shard].range;
  if (!state.done && expected && this->coverage->Add(result.range)) {
    state.done = true;
    this->items.insert(this->items.end(), result.items.begin(),
                       result.items.end());
    for (auto& [other_id, other] : this->attempts) {
      if (other.shard == attempt.shard && !other.done) {
        other.done = true;
        --state.live;
        actions.emplace_back(
            CancelAttempt{other_id, other.target, Reason::kCancelledByWinner});
      }
    }
  }
  this->FinishIfSettled(now, actions);
  return actions;
}

std::vector<QueryAction> QueryMachine::OnFailure(const AttemptId& id,
                                                 AttemptFailure failure,
                                                 TimePoint now) {
  std::vector<QueryAction> actions;
  const auto found = this->attempts.find(id);
  if (this->is_finished || found == this->attempts.end() ||
      found->second.done) {
    return actions;
  }
  Attempt& attempt = found->second;
  attempt.done = true;
  if (failure.run == RunState::kNotRun) {
    attempt.dispatched = false;
  }
  const std::size_t index = attempt.shard;
  ShardState& state = this->shards[index];
  --state.live;
  if (failure.reason == Reason::kRestartSnapshotChanged) {
    this->Restart(now, actions);
    return actions;
  }
  const bool may_repeat =
      this->request.idempotent || failure.run == RunState::kNotRun;
  if (!state.done && state.live == 0 && may_repeat &&
      this->hooks.take_retry()) {
    this->StartShard(index, failure.reason, now, actions);
  }
  this->FinishIfSettled(now, actions);
  return actions;
}

std::vector<QueryAction> QueryMachine::OnTimer(TimePoint now) {
  std::vector<QueryAction> actions;
  if (this->is_finished) {
    return actions;
  }
  const TimePoint last = this->policy.early_answer
                             ? this->deadline_at - this->policy.deadline_margin
                             : this->deadline_at;
  if (now >= last) {
    this->Finish(actions, Reason::kEarlyAnswer);
    return actions;
  }
  if (this->policy.hedge_delay > Duration::zero() && this->request.idempotent) {
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
      ShardState& state = this->shards[i];
      if (state.done || state.hedged || state.live == 0 ||
          now < state.started + this->policy.hedge_delay) {
        continue;
      }
      state.hedged = true;
      if (this->hooks.take_hedge()) {
        this->StartShard(i, Reason::kHedgeDelayElapsed, now, actions);
      }
    }
  }
  return actions;
}

std::vector<QueryAction> QueryMachine::OnCallerGone(TimePoint /*now*/) {
  std::vector<QueryAction> actions;
  if (!this->is_finished) {
    this->is_finished = true;
    this->CancelLive(Reason::kCancelledByCaller, actions);
  }
  return actions;
}

std::optional<TimePoint> QueryMachine::NextTimer() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  TimePoint next = this->policy.early_answer
                       ? this->deadline_at - this->policy.deadline_margin
                       : this->deadline_at;
  if (this->policy.hedge_delay > Duration::zero() && this->request.idempotent) {
    for (const ShardState& state : this->shards) {
      if (!state.done && !state.hedged && state.live > 0) {
        next = std::min(next, state.started + this->policy.hedge_delay);
      }
    }
  }
  return next;
}

void QueryMachine::CancelLive(Reason reason,
                              std::vector<QueryAction>& actions) {
  for (auto& [id, attempt] : this->attempts) {
    if (!attempt.done) {
      attempt.done = true;
      actions.emplace_back(CancelAttempt{id, attempt.target, reason});
    }
  }
}

void QueryMachine::Restart(TimePoint now, std::vector<QueryAction>& actions) {
  this->CancelLive(Reason::kRestartSnapshotChanged, actions);
  std::shared_ptr<const ShardMap> newest = this->hooks.newest_map();
  const bool allowed = this->request.idempotent && newest != nullptr &&
                       newest->snapshot != this->map->snapshot &&
                       this->restarts < this->policy.max_restarts &&
                       this->hooks.take_retry();
  if (!allowed) {
    this->Finish(actions, Reason::kSnapshotLost);
    return;
  }
  ++this->restarts;
  this->PinMap(std::move(newest));
  for (std::size_t i = 0; i < this->shards.size(); ++i) {
    this->StartShard(i, Reason::kRestartSnapshotChanged, now, actions);
  }
  this->FinishIfSettled(now, actions);
}

void QueryMachine::FinishIfSettled(TimePoint /*now*/,
                                   std::vector<QueryAction>& actions) {
  const bool settled = std::all_of(
      this->shards.begin(), this->shards.end(),
      [](const ShardState& state) { return state.done || state.live == 0; });
  if (settled && !this->is_finished) {
    this->Finish(actions, Reason::kCompleted);
  }
}

RunState QueryMachine::CurrentRunState() const {
  if (this->any_ran) {
    return RunState::kRun;
  }
  const bool dispatched =
      std::any_of(this->attempts.begin(), this->attempts.end(),
                  [](const auto& entry) { return entry.second.dispatched; });
  return dispatched ? RunState::kUnknown : RunState::kNotRun;
}

void QueryMachine::Finish(std::vector<QueryAction>& actions, Reason reason) {
  this->is_finished = true;
  this->CancelLive(Reason::kCancelledByWinner, actions);
  const double fraction = this->coverage->Fraction();
  const bool enough = fraction > 0 && fraction >= this->request.min_coverage;
  if (enough) {
    Answer answer;
    answer.service = this->request.service;
    answer.snapshot = this->map->snapshot;
    answer.coverage = fraction;
    answer.missing = this->coverage->Missing();
    answer.results = std::move(this->items);
    answer.decision = this->decision_id;
    actions.emplace_back(FinishWithAnswer{std::move(answer)});
    return;
  }
  Refusal refusal;
  refusal.decision = this->decision_id;
  refusal.run = this->CurrentRunState();
  if (reason == Reason::kEarlyAnswer) {
    refusal.kind = ErrorKind::kDeadlineExceeded;
  } else if (reason == Reason::kSnapshotLost) {
    refusal.kind = ErrorKind::kSnapshotLost;
  } else {
    refusal.kind =
        fraction > 0 ? ErrorKind::kCoverageTooLow : ErrorKind::kNoCapacity;
  }
  refusal.detail = "coverage " + std::to_string(fraction) +
                   " of the required " +
                   std::to_string(this->request.min_coverage) + " was reached";
  actions.emplace_back(FinishWithRefusal{std::move(refusal)});
}

}  // namespace auburnyard
