#ifndef AUBURNYARD_TEST_CORE_SIMULATION_H_
#define AUBURNYARD_TEST_CORE_SIMULATION_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "test/core_test_support.h"

namespace auburnyard::test {

/// Rule that the simulation disables, to show that a property detects its
/// absence.
enum class OmittedRule {
  kNone,
  kSnapshotCheck,     ///< every reply appears to be of the pinned snapshot
  kRangeCheck,        ///< every reply appears to have the expected range
  kAttemptCheck,      ///< every reply appears to name its own attempt
  kSingleDispatch,    ///< non-idempotent requests are treated as idempotent
  kUnknownAfterLoss,  ///< a lost exchange counts as not run
  kColdAfterLoss,     ///< a lost connection does not make the target cold
  kSlotUntilEnd,      ///< an aborted exchange frees its slot immediately
};

/// Simulation of query machines and gates with fake targets. Messages between
/// them may be reordered, duplicated, crossed or lost.
class CoreSimulation {
 public:
  explicit CoreSimulation(OmittedRule omitted_rule, std::uint32_t cold_limit);
  void Step(int kind, std::size_t choice);
  /// Delivers all messages, advances the time to the deadline of all queries
  /// and checks what the targets executed.
  void Finish();
  /// Descriptions of the violated properties.
  const std::set<std::string>& violations() const { return this->violated; }

 private:
  enum class MessageKind { kEnqueue, kCancel, kStarted, kResult, kFailure };
  struct Message {
    MessageKind kind = MessageKind::kEnqueue;
    AttemptId id;
    Reason reason = Reason::kCompleted;
    PartialResult result;
    AttemptFailure failure;
  };
  struct Exchange {
    StartAttempt attempt;
    std::string snapshot;  // of the target when the exchange began
    bool aborted = false;
    bool after_cold_start = true;  // began after the target became cold
  };
  struct Target {
    std::unique_ptr<TargetGate> gate;
    std::vector<Exchange> running;
    std::string snapshot = "S0";
    int incarnation = 0;
    bool draining = false;
    bool refuses_other_snapshots = true;
    bool cold_unreported = false;  // cold, but not yet reported by a reply
    std::uint32_t cold_successes = 0;
    GateAdmission admission;
  };
  struct Query {
    std::unique_ptr<QueryMachine> machine;
    bool idempotent = true;
    bool refused_as_not_run = false;
  };

  void StartQuery(bool idempotent);
  Query& QueryOf(const AttemptId& id);
  void Perform(const std::vector<QueryAction>& actions);
  void Perform(const std::string& name, const std::vector<GateAction>& actions);
  void HandleArrival(const std::string& name, const StartAttempt& attempt);
  void Deliver(Message message);
  void BypassOmittedCheck(Message& message);
  void Complete(const std::string& name, std::size_t index);
  void LoseConnection(const std::string& name, std::size_t index);
  void Restart(const std::string& name);
  void Advance(std::int64_t ms);
  void SwitchSnapshot(Target& target, bool publish);
  void CheckAnswer(const std::string& query, const Answer& answer);
  void Expect(bool holds, const std::string& text);
  TargetReport ReportOf(const Target& target) const;

  OmittedRule omitted_rule;
  std::uint32_t cold_limit;
  std::int64_t now_ms = 0;
  std::map<std::string, Target> targets;
  std::map<std::string, Query> queries;
  std::map<AttemptId, StartAttempt> started;
  std::vector<Message> messages;
  std::shared_ptr<const ShardMap> newest;
  std::map<std::string, int> executions;  // by query and key range
  std::set<std::string> violated;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_CORE_SIMULATION_H_
