#ifndef AUBURNYARD_QUERY_MACHINE_H_
#define AUBURNYARD_QUERY_MACHINE_H_

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

/// Enqueue an attempt at the gate of `target`.
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
  AttemptId attempt = {};  ///< as named by the reply; empty: not checked
};

/// Why an attempt ended without a result, and whether it may have run.
struct AttemptFailure {
  Reason reason = Reason::kRetryConnectionFailed;
  RunState run = RunState::kUnknown;
  /// False: dispatched by the gate, but no byte reached the network.
  bool sent = true;
};

/// Behaviour of a query that varies by policy.
struct QueryHooks {
  /// Orders the replicas of a shard, best first; `tried` lists targets that
  /// were used already.
  std::function<std::vector<std::string>(const Shard& shard,
                                         const std::vector<std::string>& tried)>
      order_replicas;
  /// Takes one token from the service's retry budget; false if it is empty.
  std::function<bool()> take_retry;
  std::function<bool()> take_hedge;
  /// Newest shard map of the service, for a restart after a snapshot change.
  /// May return null.
  std::function<std::shared_ptr<const ShardMap>()> newest_map;
  /// Called for each first attempt; the budgets are shares of these.
  std::function<void()> note_first_attempt;
  /// Called for a decision that causes no action: an empty budget, no replica
  /// left, or a discarded reply.
  std::function<void(Reason)> note;
};

struct QueryPolicy {
  Duration hedge_delay = std::chrono::milliseconds(0);  ///< 0: no hedging
  bool early_answer = true;
  Duration deadline_margin =
      std::chrono::milliseconds(5);  ///< answer this long before the deadline
  std::uint32_t max_restarts = 2;
  std::uint32_t max_hedges = 1;   ///< charged hedges per shard
  std::uint32_t max_retries = 3;  ///< charged retries per shard
  /// Wait before a target that was tried is used again; doubles each time.
  Duration retry_delay = std::chrono::milliseconds(20);
  /// A refusal waits this long for cancelled attempts to confirm their state.
  Duration confirm_wait = std::chrono::milliseconds(5);
  double min_coverage = 0.0;  ///< of the service; the request may ask for more
  MergeLimits merge_limits = {};
};

/// State machine of one query. No I/O: events and time in, actions out. Not
/// synchronized.
class QueryMachine {
 public:
  QueryMachine(std::string decision,
               QueryRequest request,
               std::shared_ptr<const ShardMap> map,
               QueryPolicy policy,
               QueryHooks hooks,
               TimePoint now);

  std::vector<QueryAction> Start(TimePoint now);
  /// Whether the attempt may still be sent. A finished query must not send work
  /// that it reported as not run.
  bool MayDispatch(const AttemptId& id);
  /// The gate sent the attempt to its target.
  std::vector<QueryAction> OnDispatched(const AttemptId& id, TimePoint now);
  std::vector<QueryAction> OnResult(const AttemptId& id,
                                    PartialResult result,
                                    TimePoint now);
  std::vector<QueryAction> OnFailure(const AttemptId& id,
                                     AttemptFailure failure,
                                     TimePoint now);
  std::vector<QueryAction> OnTimer(TimePoint now);
  /// The caller closed its connection. An idempotent query ends at once. A
  /// non-idempotent one goes on until its outcome is known.
  std::vector<QueryAction> OnCallerGone(TimePoint now);

  /// Time of the next OnTimer call; empty when finished.
  std::optional<TimePoint> NextTimer() const;
  bool finished() const { return this->is_finished; }
  TimePoint deadline() const { return this->deadline_at; }
  const std::string& decision() const { return this->decision_id; }
  /// Replies that named another attempt, snapshot or range, or came too late.
  std::uint64_t discarded_replies() const { return this->discarded; }

 private:
  using Actions = std::vector<QueryAction>;
  struct ShardState {
    bool done = false;
    std::uint32_t retries = 0;
    std::uint32_t hedges = 0;
    TimePoint hedge_at = TimePoint::max();
    std::optional<TimePoint> retry_at;
    std::optional<Reason> failure;  // the last one
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
  bool TakeRetry(ShardState& state);
  bool TakeHedge() const;
  void Note(Reason reason) const;
  void Discard();

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
  bool MayRepeat(const Attempt& attempt, const AttemptFailure& failure) const;
  void OnSnapshotChanged(std::size_t shard, TimePoint now, Actions& actions);
  bool MayRestart(const ShardMap* newest, TimePoint now);
  void ChargeTie(Attempt& attempt, ShardState& state) const;
  void RunDueRetries(TimePoint now, Actions& actions);
  void RunDueHedges(TimePoint now, Actions& actions);
  void Hedge(std::size_t shard, TimePoint now, Actions& actions);

  TimePoint LastTime() const;
  double RequiredCoverage() const;
  bool Enough() const;
  bool Reachable() const;
  void Settle(TimePoint now, Actions& actions);
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
  // An attempt of the pinned snapshot ended without a merge. Until then no
  // shard can be exhausted, and the shards need not be searched.
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
