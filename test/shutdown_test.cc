#include "auburnyard/shutdown_schedule.h"

#include <boost/test/unit_test.hpp>

#include "test/fan_out_fixture.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::FanOutFixture;
using test::HoldingTarget;
using test::RelayServiceFixture;
using test::ScriptedServer;
using test::TargetReply;

constexpr milliseconds kRouteTimeout{10'000};

bool IsRefusal(const std::optional<CallerAnswer>& answer) {
  return answer && answer->head.starts_with("HTTP/1.1 503") &&
         !test::HeaderOf(answer->head, "Retry-After").empty();
}

TimePoint At(std::int64_t ms) {
  return FanOutFixture::At(ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(shutdown_test)

// Guards against a process that is killed before it has answered, and against
// one that stops accepting while the load balancer still sends connections.
BOOST_AUTO_TEST_CASE(StepsFollowTheTimeThatIsGiven) {
  const ShutdownSchedule usual(At(0), milliseconds(6'000));
  BOOST_TEST((usual.accept_until() >= At(3'000)));
  BOOST_TEST((usual.accept_until() < usual.answer_by()));
  BOOST_TEST((usual.answer_by() < usual.exit_by()));
  BOOST_TEST((usual.exit_by() < At(6'000)));
  for (const int limit : {0, 100, 1'000, 3'000}) {
    const ShutdownSchedule brief(At(0), milliseconds(limit));
    BOOST_TEST((brief.accept_until() <= brief.answer_by()), limit);
    BOOST_TEST((brief.answer_by() <= brief.exit_by()), limit);
    BOOST_TEST((brief.answer_by() >= At(0)), limit);
    BOOST_TEST((brief.exit_by() <= At(limit)), limit);
  }
}

// Guards against sending a request whose reply usually comes after the end of
// the process, and against refusing one that fits.
BOOST_AUTO_TEST_CASE(UsualTimeDecidesWhetherARequestIsSent) {
  TargetState target({.id = "t"}, Distance::kSameDomain);
  for (int i = 0; i < 50; ++i) {
    target.OnSent(At(i));
    target.OnReply(At(i), At(i + 500));
  }
  const TimePoint now = At(600);
  BOOST_TEST(RepliesBefore(now + milliseconds(2'000), target, nullptr, now));
  BOOST_TEST(!RepliesBefore(now + milliseconds(300), target, nullptr, now));
  BOOST_TEST(RepliesBefore(TimePoint::max(), target, nullptr, now));
}

// Guards against a refusal as "not run" of a request that a target may run, and
// against one as unknown of a request that was never sent.
BOOST_AUTO_TEST_CASE(StopReportsTheRunState) {
  for (const bool sent : {false, true}) {
    FanOutFixture fixture(1, /*fans_out=*/false);
    fixture.route.idempotent = false;
    FanOut& request = fixture.Start();
    if (sent) {
      fixture.SendAll();
    }
    request.StopBy(At(300));
    BOOST_TEST((request.NextTimer() == At(300)));
    request.OnTimer(At(299));
    BOOST_TEST(fixture.results.empty());
    request.OnTimer(At(300));
    BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
    BOOST_TEST((fixture.results.front().error == ErrorKind::kShuttingDown));
    BOOST_TEST((fixture.results.front().run ==
                (sent ? RunState::kUnknown : RunState::kNotRun)));
    BOOST_TEST(fixture.abandoned.size() == 1U);
  }
}

// Guards against a merged answer that is withheld at the shutdown although its
// parts cover enough.
BOOST_AUTO_TEST_CASE(StopAnswersWithTheReceivedParts) {
  FanOutFixture fixture(4);
  FanOut& request = fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 20);
  fixture.Reply(1, 20);
  request.StopBy(At(50));
  request.OnTimer(At(50));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == FanOutResult::Kind::kMerged));
  BOOST_TEST(fixture.results.front().missing_parts == 2U);
}

// Guards against a deadline that the shutdown extends.
BOOST_AUTO_TEST_CASE(LaterStopChangesNothing) {
  FanOutFixture fixture(1, /*fans_out=*/false);
  FanOut& request = fixture.Start();
  request.StopBy(At(5'000));
  request.OnTimer(At(800));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().error == ErrorKind::kDeadlineExceeded));
}

// Guards against requests without an answer when the process ends: one that a
// target runs is answered at the end, and one that waits for a connection that
// will not be free in time is refused then as not run.
BOOST_AUTO_TEST_CASE(RequestsInProgressAreAnswered) {
  RelayServiceFixture fixture;
  HoldingTarget target;
  fixture.SetRoute(/*idempotent=*/false, kRouteTimeout);
  fixture.targets.Upsert(RelayServiceFixture::Entry("t", target.address()));
  const auto running = fixture.Ask("running");
  BOOST_REQUIRE(fixture.RunUntil([&target] { return target.arrivals() == 1; }));
  const auto waiting = fixture.Ask("waiting");
  fixture.service.StopBy(fixture.clock.Now() + milliseconds(400));
  BOOST_TEST(fixture.RunUntil([&] { return running->has_value(); }));
  BOOST_TEST((*running)->head.starts_with("HTTP/1.1 502"));
  BOOST_TEST(fixture.RunUntil([&] { return waiting->has_value(); }));
  BOOST_TEST(IsRefusal(*waiting));
  BOOST_TEST(target.arrivals() == 1);
}

// Guards against a request that arrives late in the shutdown, is sent to a
// target that usually needs longer, and is cut: it is refused at once, so that
// the caller can use another host.
BOOST_AUTO_TEST_CASE(LateRequestsThatDoNotFitAreRefusedAtOnce) {
  RelayServiceFixture fixture;
  std::atomic<int> arrivals{0};
  ScriptedServer target([&arrivals](const std::string& head) {
    ++arrivals;
    std::this_thread::sleep_for(milliseconds(60));
    return TargetReply(head, "slow");
  });
  fixture.SetRoute(/*idempotent=*/false, kRouteTimeout);
  fixture.targets.Upsert(RelayServiceFixture::Entry("t", target.address()));
  for (int i = 0; i < 20; ++i) {
    const auto answer = fixture.Ask("usual-" + std::to_string(i));
    BOOST_REQUIRE(fixture.RunUntil([&] { return answer->has_value(); }));
  }
  const TimePoint stop = fixture.clock.Now() + milliseconds(2'000);
  fixture.service.StopBy(stop);
  const auto in_time = fixture.Ask("in-time");
  BOOST_TEST(fixture.RunUntil([&] { return in_time->has_value(); }));
  BOOST_TEST((*in_time)->body == "slow");
  const int before = arrivals;
  // The refusal must not take any time of the clock.
  fixture.clock.Pause();
  fixture.clock.Advance(stop - milliseconds(30) - fixture.clock.Now());
  const auto late = fixture.Ask("late");
  fixture.io.restart();
  fixture.io.poll();
  BOOST_TEST(IsRefusal(*late));
  BOOST_TEST(arrivals == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
