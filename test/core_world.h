#ifndef AUBURNYARD_TEST_CORE_WORLD_H_
#define AUBURNYARD_TEST_CORE_WORLD_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "test/core_test_support.h"

namespace auburnyard::test {

/// Rules that a broken variant leaves out, to show that a property detects it.
enum class Broken {
  kNothing,
  kSnapshotCheck,     ///< replies are taken as of the pinned snapshot
  kRangeCheck,        ///< replies are taken as of the expected range
  kAttemptCheck,      ///< replies are taken as of the expected attempt
  kSingleDispatch,    ///< non-idempotent requests are treated as idempotent
  kUnknownAfterLoss,  ///< a lost exchange counts as not run
  kColdAfterLoss,     ///< a broken connection does not drop the limit
  kSlotUntilEnd,      ///< an aborted exchange frees its slot at once
};

/// Query machines and gates with small fake targets. Messages between them are
/// delivered in any order, twice, crossed or never.
class CoreWorld {
 public:
  static constexpr int kStepKinds = 16;

  explicit CoreWorld(Broken broken, std::uint32_t cold_limit);
  void Step(int kind, std::size_t choice);
  /// Runs all queries to their ends and checks the records of the targets.
  void End();
  /// Empty if every property held.
  const std::set<std::string>& violations() const { return this->violated; }

 private:
  enum class MailKind { kEnqueue, kCancel, kStarted, kResult, kFailure };
  struct Mail {
    MailKind kind = MailKind::kEnqueue;
    AttemptId id;
    Reason reason = Reason::kCompleted;
    PartialResult result;
    AttemptFailure failure;
  };
  struct Exchange {
    StartAttempt attempt;
    std::string snapshot;  // of the target when the work began
    bool aborted = false;
    bool fresh = true;  // began after the target became cold
  };
  struct Target {
    std::unique_ptr<TargetGate> gate;
    std::vector<Exchange> running;
    std::string snapshot = "S0";
    int incarnation = 0;
    bool draining = false;
    bool refuses_other_snapshots = true;
    bool unannounced = false;  // cold, but no reply has said so yet
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
  void Arrive(const std::string& name, const StartAttempt& attempt);
  void Deliver(Mail mail);
  void Distort(Mail& mail);
  void Complete(const std::string& name, std::size_t index);
  void Lose(const std::string& name, std::size_t index);
  void Restart(const std::string& name);
  void Advance(std::int64_t ms);
  void SwitchSnapshot(Target& target, bool publish);
  void CheckAnswer(const std::string& query, const Answer& answer);
  void Expect(bool holds, const std::string& text);
  TargetReport ReportOf(const Target& target) const;

  Broken broken;
  std::uint32_t cold_limit;
  std::int64_t now_ms = 0;
  std::map<std::string, Target> targets;
  std::map<std::string, Query> queries;
  std::map<AttemptId, StartAttempt> started;
  std::vector<Mail> mails;
  std::shared_ptr<const ShardMap> newest;
  std::map<std::string, int> executions;  // by query and key range
  std::set<std::string> violated;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_CORE_WORLD_H_
