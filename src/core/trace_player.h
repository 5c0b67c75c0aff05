#ifndef AUBURNYARD_SRC_CORE_TRACE_PLAYER_H_
#define AUBURNYARD_SRC_CORE_TRACE_PLAYER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/query_machine.h"
#include "auburnyard/target_gate.h"
#include "auburnyard/trace.h"

namespace auburnyard::detail {

/// Feeds the inputs of a trace to one query machine and the gates of the
/// header. The time is taken from the inputs, so a replay does not depend on
/// the system clock.
class TracePlayer {
 public:
  explicit TracePlayer(const TraceHeader& header);

  /// Feeds one input and returns the records of all resulting actions. Throws
  /// Error(kBadRequest) if the input is not valid in the current state.
  std::vector<DecisionRecord> Feed(const DecisionRecord& input);

 private:
  void HandleInput(const DecisionRecord& input);
  void StartQuery(const DecisionRecord& input);
  void HandleReply(const DecisionRecord& input);
  void ReportToGate(const DecisionRecord& input, const AttemptId& id);
  void SetLimits(const DecisionRecord& input);
  void SetAdmission(const DecisionRecord& input);
  void PublishMap(const DecisionRecord& input);
  void FireTimers();
  void HandleActions(std::vector<QueryAction> actions);
  void Apply(const StartAttempt& action);
  void Apply(const CancelAttempt& action);
  void Apply(const FinishWithAnswer&) {}
  void Apply(const FinishWithRefusal&) {}
  void HandleActions(TargetGate& gate, const std::vector<GateAction>& actions);
  void Dispatch(TargetGate& gate, const GateAction& action);
  void ApplyPending();

  TargetGate& GateOf(const std::string& target);
  QueryMachine& Machine();
  AttemptId IdOf(const DecisionRecord& input) const;
  QueryHooks MakeHooks();
  std::vector<std::string> OrderReplicas(const Shard& shard,
                                         const std::vector<std::string>& tried);
  static bool TakeToken(std::uint32_t& tokens);

  const TraceHeader& header;
  std::mt19937_64 random;
  std::uint32_t retry_tokens;
  std::uint32_t hedge_tokens;
  std::shared_ptr<const ShardMap> newest;
  std::map<std::string, TargetGate, std::less<>> gates;
  std::map<std::uint32_t, AttemptId> attempts;
  std::optional<QueryMachine> machine;
  std::deque<QueryAction> pending;
  std::vector<DecisionRecord> records;
  Duration time{0};
  TimePoint now;
};

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_TRACE_PLAYER_H_
