#include <array>

#include <boost/test/unit_test.hpp>

#include "auburnyard/status_promise.h"
#include "test/fan_out_fixture.h"
#include "test/property.h"

namespace auburnyard {

namespace {

using test::FanOutFixture;

// Effects of one request that targets and the caller observe.
struct History {
  std::map<std::uint32_t, std::uint32_t> executions;  // by part
  std::uint32_t extra_arrivals = 0;
  std::size_t results = 0;
  bool reported_not_run = false;
  bool returned_promise = false;  // the status of a target's reply
  int repeats_taken = 0;
};

// Describes the first invariant that the history violates; empty if none.
std::string ViolatedInvariant(const History& history, const Route& route) {
  std::uint32_t executed = 0;
  for (const auto& [part, count] : history.executions) {
    executed += count;
    if (count > route.max_attempts) {
      return "more executions than attempts allowed";
    }
    if (!route.idempotent && count > 1) {
      return "non-idempotent request executed more than once";
    }
  }
  if (history.results > 1) {
    return "more than one answer";
  }
  if (history.reported_not_run && executed > 0) {
    return "request reported as not run was executed";
  }
  if (!route.idempotent && history.returned_promise) {
    return "a target's status promises that the request has not run";
  }
  if (history.extra_arrivals >
      static_cast<std::uint32_t>(history.repeats_taken)) {
    return "repeat without budget";
  }
  return "";
}

// Applies random events to a request until its deadline.
History RunRandomEvents(FanOutFixture& fixture) {
  History history;
  FanOut& fan_out = fixture.Start();
  std::vector<bool> sent;
  std::vector<bool> ended;
  std::map<std::uint32_t, std::uint32_t> arrivals;
  std::int64_t now = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1'000));
  for (const int step : steps) {
    sent.resize(fixture.sent.size());
    ended.resize(fixture.sent.size());
    now += step % 23;
    if (step % 5 == 0 || fixture.sent.empty()) {
      fan_out.OnTimer(FanOutFixture::At(now));
      continue;
    }
    const std::size_t index =
        static_cast<std::size_t>(step / 5) % fixture.sent.size();
    const PartAttempt id = fixture.sent[index].id;
    const bool abandoned = std::any_of(
        fixture.abandoned.begin(), fixture.abandoned.end(),
        [id](const PartAttempt& other) {
          return other.part == id.part && other.attempt == id.attempt;
        });
    if (ended[index] || (abandoned && !sent[index])) {
      continue;
    }
    if (!sent[index]) {
      if (step % 7 == 0) {
        ended[index] = true;
        fixture.Fail(index, PartFailure::kUnreachable, now);
        continue;
      }
      sent[index] = true;
      fan_out.OnSent(id);
      if (++arrivals[id.part] > 1) {
        ++history.extra_arrivals;
      }
      continue;
    }
    ended[index] = true;
    if (step % 3 == 0) {
      fixture.Fail(index, PartFailure::kRefused, now);
      continue;
    }
    ++history.executions[id.part];
    if (step % 3 == 1) {
      fixture.Fail(index, PartFailure::kLost, now);
    } else {
      constexpr std::array<int, 6> kStatuses = {200, 500, 503, 429, 408, 404};
      fixture.Reply(
          index, now,
          kStatuses.at(static_cast<std::size_t>(step / 3) % kStatuses.size()));
    }
  }
  fan_out.OnTimer(FanOutFixture::At(900));
  history.results = fixture.results.size();
  history.repeats_taken = fixture.repeats_taken;
  history.reported_not_run =
      !fixture.results.empty() &&
      fixture.results.front().kind == FanOutResult::Kind::kRefusal &&
      fixture.results.front().run == RunState::kNotRun;
  history.returned_promise =
      !fixture.results.empty() &&
      fixture.results.front().kind == FanOutResult::Kind::kReply &&
      PromisesNotRun(fixture.results.front().reply.status);
  return history;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fan_out_property_test)

// Guards against event orders that violate an invariant of a request.
BOOST_AUTO_TEST_CASE(InvariantsHoldInAnyOrderOfEvents) {
  const std::string failure = test::CounterExample(20261204, [] {
    const bool fans_out = *rc::gen::arbitrary<bool>();
    FanOutFixture fixture(fans_out ? 3 : 1, fans_out);
    fixture.route.idempotent = fans_out || *rc::gen::arbitrary<bool>();
    fixture.repeats_allowed = *rc::gen::inRange(0, 4);
    fixture.replica_count = 3;
    const History history = RunRandomEvents(fixture);
    RC_ASSERT(ViolatedInvariant(history, fixture.route) == std::string());
  });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against a checker that does not detect violations.
BOOST_AUTO_TEST_CASE(ViolationsAreDetected) {
  Route route;
  route.idempotent = false;
  route.max_attempts = 2;
  BOOST_TEST(ViolatedInvariant({}, route).empty());
  BOOST_TEST(!ViolatedInvariant({.executions = {{0, 2}}}, route).empty());
  BOOST_TEST(!ViolatedInvariant({.executions = {{0, 3}}}, route).empty());
  BOOST_TEST(!ViolatedInvariant({.extra_arrivals = 1}, route).empty());
  BOOST_TEST(!ViolatedInvariant({.results = 2}, route).empty());
  BOOST_TEST(!ViolatedInvariant({.returned_promise = true}, route).empty());
  BOOST_TEST(!ViolatedInvariant(
                  {.executions = {{0, 1}}, .reported_not_run = true}, route)
                  .empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
