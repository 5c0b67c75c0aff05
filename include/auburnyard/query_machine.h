#ifndef AUBURNYARD_QUERY_MACHINE_H_
#define AUBURNYARD_QUERY_MACHINE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/array.hpp>

#include "auburnyard/attempt_table.h"
#include "auburnyard/clock.h"
#include "auburnyard/merger.h"
#include "auburnyard/query.h"
#include "auburnyard/reason.h"
#include "auburnyard/shard_map.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// Enqueue the attempt at the gate of `target`.
struct StartAttempt {
  AttemptId id;
  std::string target;
  std::string shard;
  KeyRange range;
  std::string snapshot;
  Reason reason;
};
struct CancelAttempt {
  AttemptId id;
  std::string target;
  Reason reason;
};
struct FinishWithAnswer {
  Answer answer;
  Reason reason = Reason::kCompleted;
};
struct FinishWithRefusal {
  Refusal refusal;
  Reason reason = Reason::kCompleted;
};
using QueryAction = std::
    variant<StartAttempt, CancelAttempt, FinishWithAnswer, FinishWithRefusal>;

/// A target's reply to one attempt.
struct PartialResult {
  std::string snapshot;
  KeyRange range;
  boost::json::array items;
  AttemptId attempt = {};  ///< as stated in the reply; empty: not checked
};

/// Why an attempt ended without a result, and whether it may have run.
struct AttemptFailure {
  Reason reason = Reason::kRetryConnectionFailed;
  RunState run = RunState::kUnknown;
  /// False if the gate dispatched it, but no byte reached the network.
  bool sent = true;
};

/// Callbacks of a query for the parts that depend on policy.
struct QueryHooks {
  /// Orders the replicas of a shard, best first. `tried` lists targets that
  /// were already used for the shard.
  std::function<std::vector<std::string>(const Shard& shard,
                                         const std::vector<std::string>& tried)>
      order_replicas;
  /// Takes one token from the service's retry budget. Returns false if it is
  /// empty.
  std::function<bool()> take_retry_token;
  std::function<bool()> take_hedge_token;
  /// Returns the newest shard map of the service, for a restart after a
  /// snapshot change, or null.
  std::function<std::shared_ptr<const ShardMap>()> newest_map;
  /// Called for each first attempt. The budgets are shares of the first
  /// attempts.
  std::function<void()> on_first_attempt;
  /// Called for a decision without an action: an empty budget, no replica left,
  /// or a discarded reply.
  std::function<void(Reason)> note;
};

struct QueryPolicy {
  Duration hedge_delay = std::chrono::milliseconds(0);  ///< 0: no hedging
  bool early_answer = true;
  /// Time before the deadline at which an early answer is returned.
  Duration deadline_margin = std::chrono::milliseconds(5);
  std::uint32_t max_restarts = 2;
  std::uint32_t max_hedges = 1;   ///< charged hedges per shard
  std::uint32_t max_retries = 3;  ///< charged retries per shard
  /// Delay before a target that was already tried is used again. Doubles with
  /// each retry.
  Duration retry_delay = std::chrono::milliseconds(20);
  /// Maximum time that a refusal waits for the run state of cancelled attempts.
  Duration confirm_wait = std::chrono::milliseconds(5);
  double min_coverage = 0.0;  ///< of the service; the request may require more
  MergeLimits merge_limits = {};
};

/// State machine of one query. It does no I/O: the caller passes events and the
/// current time and carries out the returned actions. Not thread-safe.
class QueryMachine {
 public:
  QueryMachine(std::string decision,
               QueryRequest request,
               std::shared_ptr<const ShardMap> map,
               QueryPolicy policy,
               QueryHooks hooks,
               TimePoint now);

  std::vector<QueryAction> Start(TimePoint now);
  /// Returns whether the attempt may still be sent. A finished query must not
  /// send work that it has reported as not run.
  bool MayDispatch(const AttemptId& id);
  /// The gate has sent the attempt to its target.
  std::vector<QueryAction> OnDispatched(const AttemptId& id, TimePoint now);
  std::vector<QueryAction> OnResult(const AttemptId& id,
                                    PartialResult result,
                                    TimePoint now);
  std::vector<QueryAction> OnFailure(const AttemptId& id,
                                     AttemptFailure failure,
                                     TimePoint now);
  std::vector<QueryAction> OnTimer(TimePoint now);
  /// The caller has closed its connection. An idempotent query ends at once, a
  /// non-idempotent one continues until its outcome is known.
  std::vector<QueryAction> OnCallerGone(TimePoint now);

  /// Moves the deadline to `limit` if that is earlier.
  void LimitDeadline(TimePoint limit) {
    this->deadline_at = std::min(this->deadline_at, limit);
  }

  /// Time of the next OnTimer call; empty when finished.
  std::optional<TimePoint> NextTimer() const;
  bool finished() const { return this->is_finished; }
  TimePoint deadline() const { return this->deadline_at; }
  const std::string& decision() const { return this->decision_id; }
  /// Number of discarded replies: those for another attempt, snapshot or range,
  /// and those that arrived too late.
  std::uint64_t discarded_replies() const { return this->discarded; }

 private:
  using Actions = std::vector<QueryAction>;
  struct ShardState {
    bool done = false;
    std::uint32_t retries = 0;
    std::uint32_t hedges = 0;
    TimePoint hedge_at = TimePoint::max();
    std::optional<TimePoint> retry_at;
    std::optional<Reason> failure;  // of the latest failed attempt
    std::vector<std::string> tried;
    std::vector<Attempt*> attempts;
  };
  struct Replica {
    std::string target;
    bool tried = false;
  };

  bool Live(const Attempt& attempt) const;
  bool AnyLive(const ShardState& state) const;
  bool AnyLiveDispatched(const ShardState& state) const;
  bool Exhausted(const ShardState& state) const;
  std::optional<Replica> PickReplica(std::size_t shard) const;
  bool TakeRetryToken(ShardState& state);
  bool TakeHedgeToken() const;
  void Note(Reason reason) const;
  void DiscardReply();

  void PinMap(std::shared_ptr<const ShardMap> newest);
  void StartShards(Reason reason, TimePoint now, Actions& actions);
  void StartAt(std::size_t shard,
               const std::string& target,
               Reason reason,
               bool charged,
               TimePoint now,
               Actions& actions);
  void Merge(Attempt& attempt,
             PartialResult result,
             TimePoint now,
             Actions& actions);
  void OnShardFailed(std::size_t shard,
                     Reason reason,
                     bool charged,
                     TimePoint now,
                     Actions& actions);
  bool MayRetry(const Attempt& attempt, const AttemptFailure& failure) const;
  void OnSnapshotChanged(std::size_t shard, TimePoint now, Actions& actions);
  bool MayRestart(const ShardMap* newest, TimePoint now);
  void ChargeTiedHedge(Attempt& attempt, ShardState& state) const;
  void RunDueRetries(TimePoint now, Actions& actions);
  void RunDueHedges(TimePoint now, Actions& actions);
  void Hedge(std::size_t shard, TimePoint now, Actions& actions);

  TimePoint LatestFinish() const;
  double RequiredCoverage() const;
  bool CanAnswer() const;
  bool CoverageReachable() const;
  void CheckCompletion(TimePoint now, Actions& actions);
  void Close(Reason reason, TimePoint now, Actions& actions);
  void Finish(Actions& actions);
  void CancelShard(ShardState& state, Reason reason, Actions& actions) const;
  void CancelLive(Reason reason, Actions& actions);
  ErrorKind RefusalKind(RunState run) const;

  std::string decision_id;
  QueryRequest request;
  std::shared_ptr<const ShardMap> map;
  QueryPolicy policy;
  QueryHooks hooks;
  TimePoint deadline_at;
  std::optional<Merger> merger;
  std::vector<ShardState> shards;
  std::size_t done_shards = 0;
  // True once an attempt for the pinned snapshot has ended without a merge.
  // Until then no shard can be exhausted, so the shards need not be scanned.
  bool any_failed = false;
  AttemptTable attempts;
  std::uint32_t generation = 0;
  std::uint32_t restarts = 0;
  std::uint64_t discarded = 0;
  std::optional<TimePoint> closing_until;
  Reason end_reason = Reason::kCompleted;
  bool answer_too_large = false;
  bool is_finished = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_QUERY_MACHINE_H_
