#ifndef AUBURNYARD_QUERY_MACHINE_H_
#define AUBURNYARD_QUERY_MACHINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/json/array.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/coverage.h"
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
};
struct FinishWithRefusal {
  Refusal refusal;
};
using QueryAction = std::
    variant<StartAttempt, CancelAttempt, FinishWithAnswer, FinishWithRefusal>;

/// A target's reply to one attempt.
struct PartialResult {
  std::string snapshot;
  KeyRange range;
  boost::json::array items;
};

/// Why an attempt ended without a result, and whether it may have run.
struct AttemptFailure {
  Reason reason = Reason::kRetryConnectionFailed;
  RunState run = RunState::kUnknown;
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
};

struct QueryPolicy {
  Duration hedge_delay = std::chrono::milliseconds(0);  ///< 0: no hedging
  bool early_answer = true;
  Duration deadline_margin =
      std::chrono::milliseconds(5);  ///< answer this long before the deadline
  std::uint32_t max_restarts = 2;
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
  bool MayDispatch(const AttemptId& id) const;
  /// The gate sent the attempt to its target.
  std::vector<QueryAction> OnDispatched(const AttemptId& id, TimePoint now);
  std::vector<QueryAction> OnResult(const AttemptId& id,
                                    PartialResult result,
                                    TimePoint now);
  std::vector<QueryAction> OnFailure(const AttemptId& id,
                                     AttemptFailure failure,
                                     TimePoint now);
  std::vector<QueryAction> OnTimer(TimePoint now);
  /// The caller closed its connection.
  std::vector<QueryAction> OnCallerGone(TimePoint now);

  /// Time of the next OnTimer call; empty when finished.
  std::optional<TimePoint> NextTimer() const;
  bool finished() const { return this->is_finished; }
  TimePoint deadline() const { return this->deadline_at; }
  const std::string& decision() const { return this->decision_id; }

 private:
  struct Attempt {
    std::size_t shard = 0;
    std::string target;
    bool dispatched = false;
    bool done = false;
  };
  struct ShardState {
    bool done = false;
    bool hedged = false;
    std::uint32_t live = 0;
    TimePoint started;
    std::vector<std::string> tried;
  };

  bool StartShard(std::size_t shard,
                  Reason reason,
                  TimePoint now,
                  std::vector<QueryAction>& actions);
  void CancelLive(Reason reason, std::vector<QueryAction>& actions);
  void Restart(TimePoint now, std::vector<QueryAction>& actions);
  void PinMap(std::shared_ptr<const ShardMap> map);
  void FinishIfSettled(TimePoint now, std::vector<QueryAction>& actions);
  void Finish(std::vector<QueryAction>& actions, Reason reason);
  RunState CurrentRunState() const;

  std::string decision_id;
  QueryRequest request;
  std::shared_ptr<const ShardMap> map;
  QueryPolicy policy;
  QueryHooks hooks;
  TimePoint deadline_at;
  std::optional<Coverage> coverage;
  boost::json::array items;
  std::vector<ShardState> shards;
  std::unordered_map<AttemptId, Attempt> attempts;
  std::uint64_t next_attempt = 0;
  std::uint32_t restarts = 0;
  bool any_dispatched = false;
  bool any_ran = false;
  bool is_finished = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_QUERY_MACHINE_H_
