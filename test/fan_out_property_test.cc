#include <boost/test/unit_test.hpp>

#include "test/fan_out_fixture.h"
#include "test/property.h"

namespace auburnyard {

namespace {

using test::FanOutFixture;

// What targets and the caller saw of one request.
struct History {
  std::map<std::uint32_t, std::uint32_t> executions;  // by part
  std::uint32_t extra_arrivals = 0;
  std::size_t results = 0;
  bool claimed_not_run = false;
  int repeats_taken = 0;
};

// Text of the first promise that the history breaks, empty if none.
std::string BrokenPromise(const History& history, const Route& route) {
  std::uint32_t executed = 0;
  for (const auto& [part, count] : history.executions) {
    executed += count;
    if (count > route.max_attempts) {
      return "more executions than attempts allowed";
    }
    if (!route.idempotent && count > 1) {
      return "a non-idempotent request ran twice";
    }
  }
  if (history.results > 1) {
    return "more than one answer";
  }
  if (history.claimed_not_run && executed > 0) {
    return "not run was said of a request that ran";
  }
  if (history.extra_arrivals >
      static_cast<std::uint32_t>(history.repeats_taken)) {
    return "a repeat without budget";
  }
  return "";
}

// Plays random events against a request until its deadline.
History Play(FanOutFixture& world) {
  History history;
  FanOut& machine = world.Start();
  std::vector<bool> sent;
  std::vector<bool> ended;
  std::map<std::uint32_t, std::uint32_t> arrivals;
  std::int64_t now = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1'000));
  for (const int step : steps) {
    sent.resize(world.sent.size());
    ended.resize(world.sent.size());
    now += step % 23;
    if (step % 5 == 0 || world.sent.empty()) {
      machine.OnTimer(FanOutFixture::At(now));
      continue;
    }
    const std::size_t index =
        static_cast<std::size_t>(step / 5) % world.sent.size();
    const PartAttempt id = world.sent[index].id;
    const bool withdrawn = std::any_of(
        world.abandoned.begin(), world.abandoned.end(),
        [id](const PartAttempt& other) {
          return other.part == id.part && other.attempt == id.attempt;
        });
    if (ended[index] || (withdrawn && !sent[index])) {
      continue;
    }
    if (!sent[index]) {
      if (step % 7 == 0) {
        ended[index] = true;
        world.Fail(index, PartFailure::kUnreachable, now);
        continue;
      }
      sent[index] = true;
      machine.OnSent(id);
      if (++arrivals[id.part] > 1) {
        ++history.extra_arrivals;
      }
      continue;
    }
    ended[index] = true;
    if (step % 3 == 0) {
      world.Fail(index, PartFailure::kRefused, now);
      continue;
    }
    ++history.executions[id.part];
    if (step % 3 == 1) {
      world.Fail(index, PartFailure::kLost, now);
    } else {
      world.Reply(index, now, step % 2 == 0 ? 200 : 500);
    }
  }
  machine.OnTimer(FanOutFixture::At(900));
  history.results = world.results.size();
  history.repeats_taken = world.repeats_taken;
  history.claimed_not_run =
      !world.results.empty() &&
      world.results.front().kind == FanOutResult::Kind::kRefusal &&
      world.results.front().run == RunState::kNotRun;
  return history;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fan_out_property_test)

// Guards against any order of events that breaks a promise of a request.
BOOST_AUTO_TEST_CASE(PromisesHoldInAnyOrderOfEvents) {
  const std::string failure = test::CounterExample(20261204, [] {
    const bool fans_out = *rc::gen::arbitrary<bool>();
    FanOutFixture world(fans_out ? 3 : 1, fans_out);
    world.route.idempotent = fans_out || *rc::gen::arbitrary<bool>();
    world.repeats_allowed = *rc::gen::inRange(0, 4);
    world.replica_count = 3;
    const History history = Play(world);
    RC_ASSERT(BrokenPromise(history, world.route) == std::string());
  });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against a check that would not notice a broken rule.
BOOST_AUTO_TEST_CASE(BrokenHistoriesAreNoticed) {
  Route route;
  route.idempotent = false;
  route.max_attempts = 2;
  BOOST_TEST(BrokenPromise({}, route).empty());
  BOOST_TEST(!BrokenPromise({.executions = {{0, 2}}}, route).empty());
  BOOST_TEST(!BrokenPromise({.executions = {{0, 3}}}, route).empty());
  BOOST_TEST(!BrokenPromise({.extra_arrivals = 1}, route).empty());
  BOOST_TEST(!BrokenPromise({.results = 2}, route).empty());
  BOOST_TEST(
      !BrokenPromise({.executions = {{0, 1}}, .claimed_not_run = true}, route)
           .empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
