#include "auburnyard/query_machine.h"

#include <boost/test/unit_test.hpp>

#include "test/core_test_support.h"
#include "test/script.h"

namespace auburnyard::test {

namespace {

/// A query with identifier "q" and a deadline of 100 ms, its budgets, and the
/// newest shard map for a restart.
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
  void Start() {
    QueryHooks hooks;
    hooks.order_replicas = [](const Shard& shard,
                              const std::vector<std::string>&) {
      return shard.targets;
    };
    hooks.take_retry_token = [this] { return this->retries-- > 0; };
    hooks.take_hedge_token = [this] { return this->hedges-- > 0; };
    hooks.newest_map = [this] { return this->newest; };
    hooks.note = [this](Reason reason) {
      this->notes += std::string(ToString(reason)) + " ";
    };
    this->machine = std::make_unique<QueryMachine>(
        "q", this->request, this->pinned, this->policy, hooks, At(0));
    this->machine->Start(At(0));
  }
  /// Events: "sent <n>", "result <n> <shard> <snapshot>" and "fail <n> <reason>
  /// <run state>" of attempt n, "timer", "gone", and "next", which prints the
  /// time of the next timer.
  std::string Perform(std::int64_t ms,
                      const std::string& verb,
                      std::istream& in) {
    if (verb == "timer") {
      return Text(this->machine->OnTimer(At(ms)));
    }
    if (verb == "gone") {
      return Text(this->machine->OnCallerGone(At(ms)));
    }
    if (verb == "next") {
      return std::to_string((*this->machine->NextTimer() - At(0)) /
                            std::chrono::milliseconds(1));
    }
    std::string id;
    in >> id;
    id = "q." + id;
    if (verb == "sent") {
      return Text(this->machine->OnDispatched(id, At(ms)));
    }
    if (verb == "result") {
      std::uint64_t shard = 0;
      std::string snapshot;
      in >> shard >> snapshot;
      PartialResult result{
          snapshot, {shard * 10, shard * 10 + 10}, {std::to_string(shard)}};
      return Text(this->machine->OnResult(id, result, At(ms)));
    }
    std::string reason;
    std::string run;
    in >> reason >> run;
    return Text(this->machine->OnFailure(
        id, {*ParseReason(reason), *ParseRunState(run)}, At(ms)));
  }
  void Run(const std::string& script) {
    if (!this->machine) {
      this->Start();
    }
    RunScript(script,
              [this](std::int64_t ms, const std::string& verb,
                     std::istream& in) { return this->Perform(ms, verb, in); });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(query_machine_test)

// Guards against a second dispatch of a non-idempotent request (P7 of
// docs/design.md).
BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNotRepeatedAfterDispatch) {
  Fixture fixture({"ab"});
  fixture.request.idempotent = false;
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Run(R"(
    2 fail 0 queue_full not_run -> start q.1 b queue_full; 50 timer
    50 sent 1; 60 timer
    60 fail 1 retry_target_refused not_run -> refuse no_capacity not_run)");
}

// Guards against a non-idempotent request that is cancelled or answered before
// its outcome is known.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestWaitsForItsOutcome) {
  for (const char* end : {"97 result 0 0 S1 -> answer S1 0 missing 0",
                          "100 timer -> refuse outcome_unknown unknown"}) {
    Fixture fixture({"ab"});
    fixture.request.idempotent = false;
    fixture.Run(std::string("1 sent 0; 50 gone; 96 timer;") + end);
  }
}

// Guards against a refusal with "not run" while a gate may already have
// dispatched the cancelled attempt and its message has not arrived yet (P6).
BOOST_AUTO_TEST_CASE(NotRunNeedsTheConfirmationOfEveryAttempt) {
  for (const char* end : {"96 fail 0 deadline_elapsed not_run -> refuse "
                          "deadline_exceeded not_run",
                          "96 sent 0 -> refuse deadline_exceeded unknown",
                          "100 timer -> refuse deadline_exceeded unknown"}) {
    Fixture fixture({"a"});
    fixture.Run("95 timer -> cancel q.0 deadline_elapsed; 95 next -> 100");
    fixture.Run(end);
  }
}

// Guards against a snapshot change that ends the query although another replica
// or a newer shard map could serve it, and against mixed snapshots (P1).
BOOST_AUTO_TEST_CASE(SnapshotChangeRestartsOrTriesAnotherReplica) {
  Fixture restart({"ab", "ab"});
  restart.newest = Map("S2", {"ab", "ab"}, 2);
  restart.Run(
      "2 result 0 0 S1; 2 result 1 1 S2 -> start q.2 a "
      "restart_snapshot_changed, start q.3 a restart_snapshot_changed");
  restart.Run(R"(
    2 result 1 1 S2; 2 result 3 1 S2
    2 result 2 0 S2 -> answer S2 0 1 missing 0)");
  Fixture lagging({"ab", "ab"});
  lagging.newest = lagging.pinned;
  lagging.Run("2 result 0 0 S0 -> start q.2 b restart_snapshot_changed");
  lagging.retries = 0;
  lagging.Run(R"(
    2 fail 2 restart_snapshot_changed not_run
    2 result 1 1 S1 -> answer S1 1 missing 1)");
}

// Guards against a shard that gets no retry after a reply for another range,
// and against results in the order of arrival, which is not deterministic.
BOOST_AUTO_TEST_CASE(ReplyForAnotherRangeIsDiscardedAndRetried) {
  Fixture fixture({"ab", "ab", "c"});
  fixture.Run(R"(
    2 result 2 2 S1; 2 result 0 1 S1 -> start q.3 b retry_bad_reply
    2 result 3 0 S1; 2 result 3 0 S1
    2 result 1 1 S1 -> answer S1 0 1 2 missing 0)");
}

// Guards against the loss of requests that are queued for a draining target
// when the retry budget is empty. Moving them causes no load on a target and
// takes no token.
BOOST_AUTO_TEST_CASE(QueuedWorkMovesWithoutBudget) {
  Fixture fixture({"abc"});
  fixture.retries = 0;
  fixture.Run(R"(
    2 fail 0 retry_target_draining not_run -> start q.1 b retry_target_draining
    2 sent 1
    2 fail 1 retry_connection_failed unknown -> refuse no_capacity unknown)");
}

// Guards against taking a hedge token although no replica is left.
BOOST_AUTO_TEST_CASE(TokensAreSpentOnlyForAnAttempt) {
  Fixture fixture({"a"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Run("1 sent 0; 11 timer");
  BOOST_TEST(fixture.hedges == 10);
}

// Guards against a hedge at the target that already has the shard, a token for
// a hedge of a queued attempt, and a dispatch of both attempts of such a pair.
BOOST_AUTO_TEST_CASE(FirstToBeDispatchedCancelsTheQueuedOther) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Run("10 timer -> start q.1 b hedge_delay_elapsed");
  BOOST_TEST(fixture.hedges == 10);
  fixture.Run(R"(
    12 sent 1 -> cancel q.0 cancelled_by_winner
    13 fail 0 cancelled_by_winner not_run; 21 timer
    22 timer -> start q.2 a hedge_delay_elapsed)");
  BOOST_TEST(fixture.hedges == 9);
  fixture.Run(
      "23 sent 2; 24 result 2 0 S1 -> cancel q.1 cancelled_by_winner, "
      "answer S1 0 missing 0");
}

// Guards against a hedge that is not attempted again after the budget was empty
// once.
BOOST_AUTO_TEST_CASE(HedgeIsTriedAgainAfterAnEmptyBudget) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.hedges = 0;
  fixture.Run("0 sent 0; 10 timer; 10 next -> 20");
  fixture.hedges = 1;
  fixture.Run("20 timer -> start q.1 b hedge_delay_elapsed");
}

// Guards against waiting for the remaining shards when the required coverage
// can no longer be reached.
BOOST_AUTO_TEST_CASE(UnreachableCoverageEndsTheQuery) {
  Fixture fixture({"a", "b"});
  fixture.request.min_coverage = 0.6;
  fixture.retries = 0;
  fixture.Run(
      "1 sent 0; 1 sent 1; 2 fail 0 retry_connection_failed unknown -> "
      "cancel q.1 coverage_too_low, refuse no_capacity unknown");
}

// Guards against an answer that is truncated at the limit but looks complete.
BOOST_AUTO_TEST_CASE(TooLargeAnswerIsRefused) {
  for (const MergeLimits limits : {MergeLimits{1, 100}, MergeLimits{10, 9}}) {
    Fixture fixture({"a", "b"});
    fixture.policy.merge_limits = limits;
    fixture.Run(R"(
      2 result 0 0 S1; 2 result 1 1 S1 -> refuse answer_too_large run)");
  }
  const boost::json::value value = {{"key", {1, "text"}}};
  BOOST_TEST(EstimateBytes(value) == 25U);
}

// Guards against merging the reply to another attempt when replies are crossed
// (P5).
BOOST_AUTO_TEST_CASE(ReplyThatNamesAnotherAttemptIsDiscarded) {
  Fixture fixture({"ab"});
  fixture.Run("1 sent 0");
  const PartialResult crossed{"S1", {0, 10}, {"wrong"}, "p.0"};
  BOOST_TEST(Text(fixture.machine->OnResult("q.0", crossed, At(2))) ==
             "start q.1 b retry_bad_reply");
  BOOST_TEST(Text(fixture.machine->OnResult("p.0", crossed, At(2))) == "");
  BOOST_TEST(fixture.machine->discarded_replies() == 2U);
  BOOST_TEST(fixture.notes == "reply_discarded reply_discarded ");
}

// Guards against an early answer below the coverage that the service or the
// request requires, and against one although the service disables early
// answers.
BOOST_AUTO_TEST_CASE(DeadlineMarginFollowsThePolicy) {
  const std::string refusal =
      "cancel q.1 deadline_elapsed, refuse deadline_exceeded run";
  struct Case {
    bool early_answer;
    double service_coverage;
    double request_coverage;
    std::int64_t last_ms;
    std::string expected;
  };
  for (const Case& one :
       {Case{true, 0.0, 0.5, 95,
             "cancel q.1 early_answer, answer S1 0 missing 1"},
        Case{true, 0.6, 0.0, 95, refusal}, Case{true, 0.0, 0.6, 95, refusal},
        Case{false, 0.0, 0.0, 100,
             "cancel q.1 deadline_elapsed, answer S1 0 missing 1"}}) {
    Fixture fixture({"a", "b"});
    fixture.policy.early_answer = one.early_answer;
    fixture.policy.min_coverage = one.service_coverage;
    fixture.request.min_coverage = one.request_coverage;
    const std::string last = std::to_string(one.last_ms);
    fixture.Run("1 result 0 0 S1; 1 next -> " + last + "; " +
                std::to_string(one.last_ms - 1) + " timer; " + last +
                " timer -> " + one.expected);
    BOOST_TEST(!fixture.machine->NextTimer().has_value());
  }
}

// Guards against hedges beyond the policy, the budget or the replicas.
BOOST_AUTO_TEST_CASE(HedgesFollowOneAnother) {
  Fixture fixture({"abcd"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.policy.max_hedges = 2;
  fixture.Run(R"(
    0 sent 0; 10 timer -> start q.1 b hedge_delay_elapsed
    11 sent 1; 21 timer -> start q.2 c hedge_delay_elapsed
    22 sent 2; 40 timer; 40 next -> 95)");
  BOOST_TEST(fixture.hedges == 8);
}

// Guards against a hedge without a token that is dispatched together with the
// queued attempt and never charged. The result of the cancelled one is valid.
BOOST_AUTO_TEST_CASE(TieDispatchedTwiceIsCharged) {
  Fixture fixture({"ab"});
  fixture.policy.hedge_delay = std::chrono::milliseconds(10);
  fixture.Run(R"(
    10 timer -> start q.1 b hedge_delay_elapsed
    11 sent 1 -> cancel q.0 cancelled_by_winner)");
  BOOST_TEST(fixture.hedges == 10);
  fixture.Run(
      "11 sent 0; 12 result 0 0 S1 -> cancel q.1 cancelled_by_winner, "
      "answer S1 0 missing 0");
  BOOST_TEST(fixture.hedges == 9);
}

// Guards against an immediate retry at a target that has just failed, and
// against retries beyond the limit.
BOOST_AUTO_TEST_CASE(TriedTargetIsUsedAgainAfterADelay) {
  Fixture fixture({"a"});
  fixture.policy.max_retries = 2;
  fixture.Run(R"(
    1 fail 0 queue_full not_run; 1 next -> 21
    21 timer -> start q.1 a queue_full; 22 fail 1 queue_full not_run
    62 timer -> start q.2 a queue_full
    63 fail 2 queue_full not_run -> refuse overloaded not_run)");
  BOOST_TEST(fixture.notes == "retry_budget_empty ");
}

// Guards against a refusal whose status says that nothing ran, although a part
// of a request that may run once has.
BOOST_AUTO_TEST_CASE(StatusOfAPartlyRunRequestPromisesNothing) {
  for (const bool idempotent : {false, true}) {
    Fixture fixture({"a", "b"});
    fixture.request.idempotent = idempotent;
    fixture.request.min_coverage = 1;
    fixture.retries = 0;
    fixture.Start();
    fixture.machine->OnDispatched("q.0", At(1));
    fixture.machine->OnResult("q.0", {"S1", {0, 10}, {"0"}}, At(2));
    const std::vector<QueryAction> actions = fixture.machine->OnFailure(
        "q.1", {Reason::kQueueFull, RunState::kNotRun}, At(3));
    BOOST_REQUIRE(!actions.empty());
    const auto* finish = std::get_if<FinishWithRefusal>(&actions.back());
    BOOST_REQUIRE(finish != nullptr);
    BOOST_TEST((finish->refusal.run == RunState::kRun));
    BOOST_TEST(StatusOf(finish->refusal) == (idempotent ? 503 : 502));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
