#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "auburnyard/replica_choice.h"
#include "auburnyard/service_state.h"
#include "test/core_test_support.h"

namespace auburnyard::test {

namespace {

int TakeAll(TokenBudget& budget) {
  int taken = 0;
  while (budget.Take()) {
    ++taken;
  }
  return taken;
}

constexpr Duration kMs = std::chrono::milliseconds(1);

}  // namespace

BOOST_AUTO_TEST_SUITE(query_policy_test)

// Guards against extra attempts beyond the share of first attempts, an
// unlimited burst after a quiet phase, and a share of zero that still allows
// the reserve.
BOOST_AUTO_TEST_CASE(BudgetIsAShareOfFirstAttempts) {
  struct Case {
    double share;
    int first_attempts;
    int expected;
  };
  const std::vector<Case> cases = {
      {0.0, 100, 0}, {0.1, 0, 3}, {0.1, 70, 7}, {0.05, 100'000, 100}};
  for (const Case& one : cases) {
    TokenBudget budget(one.share);
    const int reserve = TakeAll(budget);
    BOOST_TEST(reserve == (one.share > 0 ? 3 : 0));
    for (int i = 0; i < one.first_attempts; ++i) {
      budget.OnFirstAttempt();
    }
    const int earned = TakeAll(budget);
    BOOST_TEST((one.first_attempts > 0 ? earned : reserve) == one.expected);
  }
}

// Guards against tokens that several threads take twice, and against shares
// that do not follow the configuration.
BOOST_AUTO_TEST_CASE(ServiceBudgetsAreSharedByThreads) {
  ServiceStates states;
  ServiceConfig config;
  config.retry_budget = 1.0;
  const std::shared_ptr<ServiceState> state = states.Get("s", config);
  for (int i = 0; i < 50; ++i) {
    state->retries.OnFirstAttempt();
  }
  std::atomic<int> taken = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] { taken += TakeAll(state->retries); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(taken == 53);
  config.retry_budget = 0;
  BOOST_TEST(states.Get("s", config) == state);
  state->retries.OnFirstAttempt();
  BOOST_TEST(!state->retries.Take());
}

// Guards against a hedge delay from a handful of observations, from old ones,
// or from the wrong quantile.
BOOST_AUTO_TEST_CASE(HedgeDelayFollowsTheObservedQuantile) {
  LatencyTracker tracker(std::chrono::seconds(1));
  ServiceConfig config;
  for (int i = 1; i <= 19; ++i) {
    tracker.Add(kMs, At(0));
  }
  BOOST_TEST((HedgeDelay(config, tracker, At(0)) == Duration::zero()));
  for (int i = 20; i <= 1000; ++i) {
    tracker.Add(kMs * (i <= 940 ? 1 : 50), At(0));
  }
  const auto near = [&tracker](double share, std::int64_t now_ms, double ms) {
    const double found = ToMilliseconds(*tracker.Quantile(share, At(now_ms)));
    return found >= ms && found < ms * 1.1;
  };
  BOOST_TEST(near(0.93, 0, 1));
  BOOST_TEST(near(0.95, 0, 50));
  for (int i = 0; i < 200; ++i) {
    tracker.Add(kMs * 5, At(9000));
  }
  BOOST_TEST(near(0.5, 9000, 5));
  BOOST_TEST(!tracker.Quantile(0.5, At(60'000)).has_value());
  config.hedge_delay = std::chrono::milliseconds(7);
  BOOST_TEST((HedgeDelay(config, tracker, At(0)) == kMs * 7));
}

namespace {

struct ChoiceFixture {
  std::shared_ptr<TargetKnowledge> knowledge =
      std::make_shared<TargetKnowledge>();
  std::shared_ptr<RandomSource> random = std::make_shared<RandomSource>(7);
  Shard shard = Map("S1", {"abc"})->shards[0];

  ChoiceFixture() {
    this->knowledge->SetTarget("a", "home", 2, true);
    this->knowledge->SetTarget("b", "near", 2, true);
    this->knowledge->SetTarget("c", "far", 2, true);
    this->knowledge->SetDomainDelay("near", kMs * 3);
    this->knowledge->SetDomainDelay("far", kMs * 40);
    for (const char* target : {"a", "b", "c"}) {
      this->knowledge->OnResult(target, kMs * 10, At(0));
    }
  }
  std::string Order(const ReplicaOrder& order,
                    const std::vector<std::string>& tried = {},
                    std::int64_t now_ms = 0) {
    std::string text;
    for (const std::string& target : order(this->shard, tried, At(now_ms))) {
      text += target;
    }
    return text;
  }
};

}  // namespace

// Guards against a local queue that grows while another domain is idle, and
// against the use of failed, tried or unusable targets before good ones.
BOOST_AUTO_TEST_CASE(OwnerOrderSpillsOverByExpectedTime) {
  struct Case {
    std::function<void(TargetKnowledge&)> change;
    std::vector<std::string> tried;
    std::string expected;
    std::int64_t now_ms = 0;
  };
  const auto fail = [](TargetKnowledge& known) { known.OnFailure("a", At(0)); };
  const auto slow = [](TargetKnowledge& known) {
    known.OnResult("a", kMs * 400, At(0));
    for (const char* target : {"b", "c"}) {
      known.OnResult(target, kMs * 10, At(4000));
    }
  };
  const std::vector<Case> cases = {
      {[](TargetKnowledge&) {}, {}, "abc"},
      {[](TargetKnowledge& known) { known.OnQueueReport("a", 1); }, {}, "abc"},
      {[](TargetKnowledge& known) { known.OnQueueReport("a", 2); }, {}, "bac"},
      {[](TargetKnowledge& known) { known.OnQueueReport("a", 12); }, {}, "bca"},
      {[](TargetKnowledge& known) {
         known.OnStart("a");
         known.OnStart("a");
       },
       {},
       "bac"},
      {[](TargetKnowledge& known) { known.SetTarget("b", "near", 2, false); },
       {"a"},
       "ca"},
      {fail, {}, "bca", 1999},
      {fail, {}, "abc", 2000},
      {slow, {}, "bca", 0},
      {slow, {}, "abc", 4000},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    ChoiceFixture fixture;
    cases[i].change(*fixture.knowledge);
    const ReplicaOrder order =
        MakeOwnerOrder(fixture.knowledge, fixture.random);
    BOOST_TEST_CONTEXT("case " << i) {
      BOOST_TEST(fixture.Order(order, cases[i].tried, cases[i].now_ms) ==
                 cases[i].expected);
    }
  }
}

// Guards against a baseline that favours a replica, a two-choice order that
// takes the more loaded of its pair, and orders that a seed does not repeat.
BOOST_AUTO_TEST_CASE(RandomAndTwoChoiceOrders) {
  ChoiceFixture fixture;
  const ReplicaOrder any = MakeRandomOrder(fixture.knowledge, fixture.random);
  std::set<std::string> seen;
  for (int i = 0; i < 100; ++i) {
    seen.insert(fixture.Order(any));
    BOOST_TEST(fixture.Order(any, {"b"}).back() == 'b');
  }
  BOOST_TEST(seen.size() == 6U);
  BOOST_TEST(fixture.Order(any) != "");
  fixture.knowledge->OnStart("a");
  fixture.knowledge->OnLoadReport("b", 2);
  fixture.knowledge->OnLoadReport("c", 3);
  const ReplicaOrder two =
      MakeTwoChoiceOrder(fixture.knowledge, fixture.random);
  std::set<char> first;
  for (int i = 0; i < 100; ++i) {
    first.insert(fixture.Order(two)[0]);
  }
  BOOST_TEST((first == std::set<char>{'a', 'b'}));
  std::vector<std::string> repeated;
  for (int i = 0; i < 2; ++i) {
    const ReplicaOrder seeded =
        MakeRandomOrder(fixture.knowledge, std::make_shared<RandomSource>(11));
    std::string text;
    for (int j = 0; j < 10; ++j) {
      text += fixture.Order(seeded);
    }
    repeated.push_back(text);
  }
  BOOST_TEST(repeated[0] == repeated[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
