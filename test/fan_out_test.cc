#include "auburnyard/fan_out.h"

#include <boost/test/unit_test.hpp>

#include "test/fan_out_fixture.h"

namespace auburnyard {

namespace {

using test::FanOutFixture;
using Kind = FanOutResult::Kind;

}  // namespace

BOOST_AUTO_TEST_SUITE(fan_out_test)

// Guards against parts that are lost or out of order in the merged answer.
BOOST_AUTO_TEST_CASE(MergesAllParts) {
  FanOutFixture fixture(3);
  fixture.Start();
  fixture.SendAll();
  fixture.Reply(1, 10);
  fixture.Reply(0, 12);
  BOOST_TEST(fixture.results.empty());
  fixture.Reply(2, 14);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  const FanOutResult& result = fixture.results.front();
  BOOST_TEST((result.kind == Kind::kMerged));
  BOOST_TEST(result.missing_parts == 0U);
  BOOST_TEST(result.signatures.size() == 3U);
  BOOST_TEST(result.records == std::string(16, '2') + std::string(16, '1') +
                                   std::string(16, '0'));
}

// Guards against a slow part that delays an answer with sufficient coverage.
BOOST_AUTO_TEST_CASE(AnswersAtTheObjectiveWithEnoughCoverage) {
  FanOutFixture fixture(4);
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 10);
  fixture.Reply(1, 10);
  fixture.Reply(2, 10);
  fan_out.OnTimer(FanOutFixture::At(99));
  BOOST_TEST(fixture.results.empty());
  fan_out.OnTimer(FanOutFixture::At(100));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 1U);
}

// Guards against an answer below the minimum coverage, and against waiting any
// longer when the minimum is reached after the latency objective.
BOOST_AUTO_TEST_CASE(AnswersAsSoonAsCoverageSufficesAfterTheObjective) {
  FanOutFixture fixture(4);
  fixture.repeats_allowed = 0;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 10);
  fan_out.OnTimer(FanOutFixture::At(100));
  BOOST_TEST(fixture.results.empty());
  fixture.Reply(1, 150);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 2U);
}

// Guards against a request that waits for its deadline although it cannot be
// served.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhenCoverageIsOutOfReach) {
  FanOutFixture fixture(2);
  fixture.route.min_coverage = 1;
  fixture.unavailable = "b";
  fixture.Start();
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kRefusal));
  BOOST_TEST((fixture.results.front().error == ErrorKind::kNoCapacity));
  BOOST_TEST((fixture.results.front().run == RunState::kNotRun));
}

// Guards against hedges that are not counted in the budget because the first
// attempt has not been sent yet: both arrive later (seen in hunt-9704-19 of
// plebsearch).
BOOST_AUTO_TEST_CASE(HedgeOfAnAttemptThatWaitsTakesFromTheBudget) {
  FanOutFixture fixture(1);
  FanOut& fan_out = fixture.Start();
  fan_out.OnTimer(fan_out.NextTimer());
  BOOST_TEST(fixture.sent.size() == 2U);
  BOOST_TEST(fixture.repeats_taken == 1);
}

// Guards against hedges beyond the budget.
BOOST_AUTO_TEST_CASE(NoHedgeWithoutBudget) {
  FanOutFixture fixture(1);
  fixture.repeats_allowed = 0;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnTimer(fan_out.NextTimer());
  BOOST_TEST(fixture.sent.size() == 1U);
}

// Guards against using the budget for a retry when no request reached a target.
BOOST_AUTO_TEST_CASE(RetryAfterUnreachableTargetTakesNoBudget) {
  FanOutFixture fixture(1);
  fixture.Start();
  fixture.Fail(0, PartFailure::kUnreachable, 5);
  BOOST_TEST(fixture.sent.size() == 2U);
  BOOST_TEST(fixture.repeats_taken == 0);
}

// Guards against a second execution of a non-idempotent request.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNotRepeatedAfterItWasSent) {
  FanOutFixture fixture(1, /*fans_out=*/false);
  fixture.route.idempotent = false;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnTimer(FanOutFixture::At(400));
  BOOST_TEST(fixture.sent.size() == 1U);
  fixture.Fail(0, PartFailure::kLost, 450);
  BOOST_TEST(fixture.sent.size() == 1U);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().run == RunState::kUnknown));
  BOOST_TEST((fixture.results.front().error == ErrorKind::kOutcomeUnknown));
}

// Guards against giving up a request that a target refused before it ran, and
// against reporting it as run.
BOOST_AUTO_TEST_CASE(RefusedNonIdempotentRequestMayBeSentAgain) {
  FanOutFixture fixture(1, /*fans_out=*/false);
  fixture.route.idempotent = false;
  fixture.Start();
  fixture.SendAll();
  fixture.Fail(0, PartFailure::kRefused, 5);
  BOOST_REQUIRE_EQUAL(fixture.sent.size(), 2U);
  fixture.SendAll();
  fixture.Fail(1, PartFailure::kRefused, 10);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().run == RunState::kNotRun));
}

// Guards against executions at more targets than the route allows.
BOOST_AUTO_TEST_CASE(AttemptsThatMayHaveRunAreBounded) {
  FanOutFixture fixture(1, /*fans_out=*/false);
  fixture.route.max_attempts = 1;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnTimer(FanOutFixture::At(400));
  fixture.Fail(0, PartFailure::kLost, 450);
  BOOST_TEST(fixture.sent.size() == 1U);
  BOOST_TEST(fixture.results.size() == 1U);
}

// Guards against more executions than allowed when a hedge is due while earlier
// attempts still wait for a connection (trouble-1 of plebsearch-grown: 3
// executions, 2 allowed).
BOOST_AUTO_TEST_CASE(AttemptsThatWaitCountAgainstTheBound) {
  FanOutFixture fixture(1);
  fixture.replica_count = 3;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  for (int ms = 10; ms <= 200; ms += 10) {
    fan_out.OnTimer(FanOutFixture::At(ms));
  }
  BOOST_TEST(fixture.sent.size() == 2U);
}

// Guards against replacing the error reply of a target by another error.
BOOST_AUTO_TEST_CASE(FailureOfTheLastTargetIsPassedOn) {
  FanOutFixture fixture(1, /*fans_out=*/false);
  fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 10, 500);
  fixture.SendAll();
  fixture.Reply(1, 20, 500);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kReply));
  BOOST_TEST(fixture.results.front().reply.status == 500);
}

// Guards against a target's status that the caller takes for a promise of the
// host, after other targets refused the request truthfully.
BOOST_AUTO_TEST_CASE(StatusThatPromisesIsWithheld) {
  for (const int status : {408, 421, 429, 503}) {
    for (const bool idempotent : {false, true}) {
      FanOutFixture fixture(1, /*fans_out=*/false);
      fixture.route.idempotent = idempotent;
      fixture.Start();
      fixture.SendAll();
      fixture.Fail(0, PartFailure::kRefused, 5);
      fixture.SendAll();
      fixture.Reply(1, 10, status);
      BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
      const FanOutResult& result = fixture.results.front();
      BOOST_TEST((result.kind == (idempotent ? Kind::kReply : Kind::kRefusal)));
      if (!idempotent) {
        BOOST_TEST((result.error == ErrorKind::kUnconfirmedRefusal));
        BOOST_TEST((result.run == RunState::kUnknown));
        BOOST_TEST(result.withheld_status == status);
        BOOST_TEST(result.reply.signature.empty());
      }
    }
  }
}

// Guards against an error reply that is merged like a part.
BOOST_AUTO_TEST_CASE(FailureReplyIsNotMerged) {
  FanOutFixture fixture(2);
  fixture.repeats_allowed = 0;
  fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 10, 500);
  fixture.Reply(1, 10);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 1U);
  BOOST_TEST(fixture.results.front().signatures.size() == 1U);
}

// Guards against a part that is counted twice when its hedge also replies.
BOOST_AUTO_TEST_CASE(SecondReplyOfAPartIsIgnored) {
  FanOutFixture fixture(2);
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnTimer(FanOutFixture::At(50));
  BOOST_REQUIRE_EQUAL(fixture.sent.size(), 4U);
  fixture.SendAll();
  fixture.Reply(2, 60);
  BOOST_TEST(fixture.abandoned.size() == 1U);
  fixture.Reply(0, 61);
  fixture.Reply(3, 62);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().signatures.size() == 2U);
}

// Guards against reporting a request as not run that a target may have run.
BOOST_AUTO_TEST_CASE(DeadlineRefusalReportsTheRunState) {
  for (const bool sent : {false, true}) {
    FanOutFixture fixture(1, /*fans_out=*/false);
    fixture.route.idempotent = false;
    FanOut& fan_out = fixture.Start();
    if (sent) {
      fixture.SendAll();
    }
    fan_out.OnTimer(FanOutFixture::At(800));
    BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
    BOOST_TEST((fixture.results.front().run ==
                (sent ? RunState::kUnknown : RunState::kNotRun)));
    BOOST_TEST(fixture.abandoned.size() == 1U);
  }
}

// Guards against work that continues after the caller has disconnected.
BOOST_AUTO_TEST_CASE(CancelAbandonsOpenAttempts) {
  FanOutFixture fixture(3);
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 5);
  fan_out.Cancel();
  BOOST_TEST(fixture.abandoned.size() == 2U);
  fixture.Reply(1, 6);
  fan_out.OnTimer(FanOutFixture::At(800));
  BOOST_TEST(fixture.results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
