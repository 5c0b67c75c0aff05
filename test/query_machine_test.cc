#include "auburnyard/query_machine.h"

#include <boost/test/unit_test.hpp>

#include "test/core_test_support.h"

namespace auburnyard::test {

namespace {

/// One query with identifier "q" and a deadline of 100 ms, its budgets, and the
/// map that a restart would use.
struct Fixture {
  int retries = 10;
  int hedges = 10;
  std::string notes;  // decisions without an action
  QueryRequest request;
  QueryPolicy policy;
  std::shared_ptr<const ShardMap> newest;
  std::shared_ptr<const ShardMap> pinned;
  std::unique_ptr<QueryMachine> machine;

  explicit Fixture(const std::vector<std::string>& replicas)
      : pinned(Map("S1", replicas)) {
    this->request.deadline = std::chrono::milliseconds(100);
  }
  std::string Start() {
    QueryHooks hooks;
    hooks.order_replicas = [](const Shard& shard,
                              const std::vector<std::string>&) {
      return shard.targets;
    };
    hooks.take_retry = [this] { return this->retries-- > 0; };
    hooks.take_hedge = [this] { return this->hedges-- > 0; };
    hooks.newest_map = [this] { return this->newest; };
    hooks.note = [this](Reason reason) {
      this->notes += std::string(ToString(reason)) + " ";
    };
    this->machine = std::make_unique<QueryMachine>(
        "q", this->request, this->pinned, this->policy, hooks, At(0));
    return Text(this->machine->Start(At(0)));
  }
  std::string Dispatched(const AttemptId& id, std::int64_t ms = 1) {
    return Text(this->machine->OnDispatched(id, At(ms)));
  }
  std::string Result(const AttemptId& id,
                     std::size_t shard = 0,
                     const std::string& snapshot = "S1",
                     std::int64_t ms = 2) {
    PartialResult result{
        snapshot, {shard * 10, shard * 10 + 10}, {std::to_string(shard)}};
    return Text(this->machine->OnResult(id, result, At(ms)));
  }
  std::string Failure(const AttemptId& id,
                      Reason reason,
                      RunState run,
                      std::int64_t ms = 2) {
    return Text(this->machine->OnFailure(id, {reason, run}, At(ms)));
  }
  std::string Timer(std::int64_t ms) {
    return Text(this->machine->OnTimer(At(ms)));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(query_machine_test)

// Guards against a second dispatch of a non-idempotent request (P7).
BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNotRepeatedAfterDispatch) {
  Fixture fixture({"ab"});
  fixture.request.idempotent = false;
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Start();
  BOOST_TEST(fixture.Failure("q.0", Reason::kQueueFull, RunState::kNotRun) ==
             "start q.1 b queue_full");
  BOOST_TEST(fixture.Timer(50) == "");
  fixture.Dispatched("q.1");
  BOOST_TEST(fixture.Timer(60) == "");
  BOOST_TEST(
      fixture.Failure("q.1", Reason::kRetryTargetRefused, RunState::kNotRun) ==
      "refuse no_capacity not_run");
}

// Guards against a non-idempotent request that is cancelled or answered while
// its outcome is still open.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestWaitsForItsOutcome) {
  for (const bool answered : {true, false}) {
    Fixture fixture({"ab"});
    fixture.request.idempotent = false;
    fixture.Start();
    fixture.Dispatched("q.0");
    BOOST_TEST(Text(fixture.machine->OnCallerGone(At(50))) == "");
    BOOST_TEST(fixture.Timer(96) == "");
    BOOST_TEST((answered ? fixture.Result("q.0") : fixture.Timer(100)) ==
               (answered ? "answer S1 0 missing 0"
                         : "refuse outcome_unknown unknown"));
  }
}

// Guards against "not run" while a cancelled attempt may have been dispatched
// by a gate whose message is still on its way (P6).
BOOST_AUTO_TEST_CASE(NotRunNeedsTheConfirmationOfEveryAttempt) {
  Fixture confirmed({"a"});
  confirmed.Start();
  BOOST_TEST(confirmed.Timer(95) == "cancel q.0 deadline_elapsed");
  BOOST_TEST(confirmed.Failure("q.0", Reason::kDeadlineElapsed,
                               RunState::kNotRun,
                               96) == "refuse deadline_exceeded not_run");
  Fixture crossed({"a"});
  crossed.Start();
  crossed.Timer(95);
  BOOST_TEST(crossed.Dispatched("q.0", 96) ==
             "refuse deadline_exceeded unknown");
  Fixture silent({"a"});
  silent.Start();
  silent.Timer(95);
  BOOST_TEST((silent.machine->NextTimer() == At(100)));
  BOOST_TEST(silent.Timer(100) == "refuse deadline_exceeded unknown");
}

// Guards against a snapshot change that ends the query although a replica or a
// newer catalog could still serve it, and against mixed snapshots (P1).
BOOST_AUTO_TEST_CASE(SnapshotChangeRestartsOrTriesAnotherReplica) {
  Fixture restart({"ab", "ab"});
  restart.newest = Map("S2", {"ab", "ab"}, 2);
  restart.Start();
  restart.Result("q.0", 0);
  BOOST_TEST(restart.Result("q.1", 1, "S2") ==
             "start q.2 a restart_snapshot_changed, start q.3 a "
             "restart_snapshot_changed");
  BOOST_TEST(restart.Result("q.1", 1, "S2") == "");
  BOOST_TEST(restart.Result("q.3", 1, "S2") == "");
  BOOST_TEST(restart.Result("q.2", 0, "S2") == "answer S2 0 1 missing 0");
  Fixture lagging({"ab", "ab"});
  lagging.newest = lagging.pinned;
  lagging.Start();
  BOOST_TEST(lagging.Result("q.0", 0, "S0") ==
             "start q.2 b restart_snapshot_changed");
  lagging.retries = 0;
  BOOST_TEST(lagging.Failure("q.2", Reason::kRestartSnapshotChanged,
                             RunState::kNotRun) == "");
  BOOST_TEST(lagging.Result("q.1", 1) == "answer S1 1 missing 1");
}

// Guards against a wrong reply that loses its shard without a retry.
BOOST_AUTO_TEST_CASE(ReplyForAnotherRangeIsDiscardedAndRetried) {
  Fixture fixture({"ab", "ab"});
  fixture.Start();
  BOOST_TEST(fixture.Result("q.0", 1) == "start q.2 b retry_bad_reply");
  BOOST_TEST(fixture.Result("q.2", 0) == "");
  BOOST_TEST(fixture.Result("q.2", 0) == "");
  BOOST_TEST(fixture.Result("q.1", 1) == "answer S1 0 1 missing 0");
}

// Guards against results in the order of arrival, which differs from run to
// run.
BOOST_AUTO_TEST_CASE(ResultsAreInKeyOrder) {
  Fixture fixture({"a", "b", "c"});
  fixture.Start();
  fixture.Result("q.2", 2);
  fixture.Result("q.0", 0);
  BOOST_TEST(fixture.Result("q.1", 1) == "answer S1 0 1 2 missing 0");
}

// Guards against a drained target whose queued work is lost because the retry
// budget is empty: moving it costs no target load.
BOOST_AUTO_TEST_CASE(QueuedWorkMovesWithoutBudget) {
  Fixture fixture({"abc"});
  fixture.retries = 0;
  fixture.Start();
  BOOST_TEST(
      fixture.Failure("q.0", Reason::kRetryTargetDraining, RunState::kNotRun) ==
      "start q.1 b retry_target_draining");
  fixture.Dispatched("q.1");
  BOOST_TEST(fixture.Failure("q.1", Reason::kRetryConnectionFailed,
                             RunState::kUnknown) ==
             "refuse no_capacity unknown");
}

// Guards against a retry token that is spent although no replica is left.
BOOST_AUTO_TEST_CASE(TokensAreSpentOnlyForAnAttempt) {
  Fixture fixture({"a"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Start();
  fixture.Dispatched("q.0", 1);
  BOOST_TEST(fixture.Timer(11) == "");
  BOOST_TEST(fixture.hedges == 10);
}

// Guards against a hedge on the target that is already busy with the shard, a
// charge for a hedge that costs no load, and two dispatches of a tied pair.
BOOST_AUTO_TEST_CASE(FirstToBeDispatchedCancelsTheQueuedOther) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Start();
  BOOST_TEST(fixture.Timer(10) == "start q.1 b hedge_delay_elapsed");
  BOOST_TEST(fixture.hedges == 10);
  BOOST_TEST(fixture.Dispatched("q.1", 12) == "cancel q.0 cancelled_by_winner");
  BOOST_TEST(fixture.Failure("q.0", Reason::kCancelledByWinner,
                             RunState::kNotRun, 13) == "");
  BOOST_TEST(fixture.Timer(21) == "");
  BOOST_TEST(fixture.Timer(22) == "start q.2 a hedge_delay_elapsed");
  BOOST_TEST(fixture.hedges == 9);
  BOOST_TEST(fixture.Dispatched("q.2", 23) == "");
  BOOST_TEST(fixture.Result("q.2") ==
             "cancel q.1 cancelled_by_winner, answer S1 0 missing 0");
}

// Guards against a hedge that is given up for good when the budget is empty for
// a moment.
BOOST_AUTO_TEST_CASE(HedgeIsTriedAgainAfterAnEmptyBudget) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.hedges = 0;
  fixture.Start();
  fixture.Dispatched("q.0", 0);
  BOOST_TEST(fixture.Timer(10) == "");
  fixture.hedges = 1;
  BOOST_TEST((fixture.machine->NextTimer() == At(20)));
  BOOST_TEST(fixture.Timer(20) == "start q.1 b hedge_delay_elapsed");
}

// Guards against waiting for shards that cannot raise the coverage enough.
BOOST_AUTO_TEST_CASE(UnreachableCoverageEndsTheQuery) {
  Fixture fixture({"a", "b"});
  fixture.request.min_coverage = 0.6;
  fixture.retries = 0;
  fixture.Start();
  fixture.Dispatched("q.0");
  fixture.Dispatched("q.1");
  BOOST_TEST(fixture.Failure("q.0", Reason::kRetryConnectionFailed,
                             RunState::kUnknown) ==
             "cancel q.1 coverage_too_low, refuse no_capacity unknown");
}

// Guards against an answer that is cut at the limit and looks complete.
BOOST_AUTO_TEST_CASE(TooLargeAnswerIsRefused) {
  for (const MergeLimits limits : {MergeLimits{1, 100}, MergeLimits{10, 9}}) {
    Fixture fixture({"a", "b"});
    fixture.policy.merge_limits = limits;
    fixture.Start();
    BOOST_TEST(fixture.Result("q.0", 0) == "");
    BOOST_TEST(fixture.Result("q.1", 1) == "refuse answer_too_large run");
  }
  const boost::json::value value = {{"key", {1, "text"}}};
  BOOST_TEST(EstimateBytes(value) == 25U);
}

// Guards against a reply of another attempt that is merged when exchanges are
// crossed (P5).
BOOST_AUTO_TEST_CASE(ReplyThatNamesAnotherAttemptIsDiscarded) {
  Fixture fixture({"ab"});
  fixture.Start();
  fixture.Dispatched("q.0");
  const PartialResult crossed{"S1", {0, 10}, {"wrong"}, "p.0"};
  BOOST_TEST(Text(fixture.machine->OnResult("q.0", crossed, At(2))) ==
             "start q.1 b retry_bad_reply");
  BOOST_TEST(Text(fixture.machine->OnResult("p.0", crossed, At(2))) == "");
  BOOST_TEST(fixture.machine->discarded_replies() == 2U);
  BOOST_TEST(fixture.notes == "reply_discarded reply_discarded ");
}

// Guards against an early answer below the coverage that the service or the
// request asks for, and against one that the service did not ask for.
BOOST_AUTO_TEST_CASE(DeadlineMarginFollowsThePolicy) {
  struct Case {
    bool early_answer;
    double service_coverage;
    double request_coverage;
    std::int64_t last_ms;
    std::string expected;
  };
  const std::string refusal =
      "cancel q.1 deadline_elapsed, refuse deadline_exceeded run";
  const std::string answer = "cancel q.1 early_answer, answer S1 0 missing 1";
  const std::vector<Case> cases = {
      {true, 0.0, 0.5, 95, answer},
      {true, 0.6, 0.0, 95, refusal},
      {true, 0.0, 0.6, 95, refusal},
      {false, 0.0, 0.0, 100,
       "cancel q.1 deadline_elapsed, answer S1 0 missing 1"},
  };
  for (const Case& one : cases) {
    Fixture fixture({"a", "b"});
    fixture.policy.early_answer = one.early_answer;
    fixture.policy.min_coverage = one.service_coverage;
    fixture.request.min_coverage = one.request_coverage;
    fixture.Start();
    fixture.Result("q.0", 0);
    BOOST_TEST((fixture.machine->NextTimer() == At(one.last_ms)));
    BOOST_TEST(fixture.Timer(one.last_ms - 1) == "");
    BOOST_TEST(fixture.Timer(one.last_ms) == one.expected);
    BOOST_TEST(!fixture.machine->NextTimer().has_value());
  }
}

// Guards against hedges beyond the policy, the budget or the replicas.
BOOST_AUTO_TEST_CASE(HedgesFollowOneAnother) {
  Fixture fixture({"abcd"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.policy.max_hedges = 2;
  fixture.Start();
  fixture.Dispatched("q.0", 0);
  BOOST_TEST(fixture.Timer(10) == "start q.1 b hedge_delay_elapsed");
  fixture.Dispatched("q.1", 11);
  BOOST_TEST(fixture.Timer(21) == "start q.2 c hedge_delay_elapsed");
  fixture.Dispatched("q.2", 22);
  BOOST_TEST(fixture.Timer(40) == "");
  BOOST_TEST((fixture.machine->NextTimer() == At(95)));
  BOOST_TEST(fixture.hedges == 8);
}

// Guards against a free hedge that is dispatched together with its first
// attempt and appears in no budget.
BOOST_AUTO_TEST_CASE(TieDispatchedTwiceIsCharged) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Start();
  fixture.Timer(10);
  fixture.Dispatched("q.1", 11);
  BOOST_TEST(fixture.hedges == 10);
  BOOST_TEST(fixture.Dispatched("q.0", 11) == "");
  BOOST_TEST(fixture.hedges == 9);
  // The cancelled attempt is not waited for, but its result is still good.
  BOOST_TEST(fixture.Result("q.0") ==
             "cancel q.1 cancelled_by_winner, answer S1 0 missing 0");
}

// Guards against retries without a delay at a target that failed a moment ago,
// and against retries beyond the limit.
BOOST_AUTO_TEST_CASE(TriedTargetIsUsedAgainAfterADelay) {
  Fixture fixture({"a"});
  fixture.policy.max_retries = 2;
  fixture.Start();
  const auto refuse = [&fixture](const AttemptId& id, std::int64_t ms) {
    return fixture.Failure(id, Reason::kQueueFull, RunState::kNotRun, ms);
  };
  BOOST_TEST(refuse("q.0", 1) == "");
  BOOST_TEST((fixture.machine->NextTimer() == At(21)));
  BOOST_TEST(fixture.Timer(21) == "start q.1 a queue_full");
  BOOST_TEST(refuse("q.1", 22) == "");
  BOOST_TEST(fixture.Timer(62) == "start q.2 a queue_full");
  BOOST_TEST(refuse("q.2", 63) == "refuse overloaded not_run");
  BOOST_TEST(fixture.notes == "retry_budget_empty ");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
