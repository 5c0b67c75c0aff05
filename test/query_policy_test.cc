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
// unlimited burst after an idle period, and a share of zero that still grants
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
    const int accrued = TakeAll(budget);
    BOOST_TEST((one.first_attempts > 0 ? accrued : reserve) == one.expected);
  }
}

// Guards against a token taken by two threads, and against budgets that do not
// follow a configuration change.
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

// Guards against a hedge delay from too few or outdated observations or from
// the wrong quantile.
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
  std::shared_ptr<TargetObservations> observations =
      std::make_shared<TargetObservations>();
  std::shared_ptr<RandomSource> random = std::make_shared<RandomSource>(7);
  Shard shard = Map("S1", {"abc"})->shards[0];

  ChoiceFixture() {
    this->observations->SetTarget("a", "home", 2, true);
    this->observations->SetTarget("b", "near", 2, true);
    this->observations->SetTarget("c", "far", 2, true);
    this->observations->SetDomainDelay("near", kMs * 3);
    this->observations->SetDomainDelay("far", kMs * 40);
    for (const char* target : {"a", "b", "c"}) {
      this->observations->OnResult(target, kMs * 10, At(0));
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
    std::function<void(TargetObservations&)> change;
    std::vector<std::string> tried;
    std::string expected;
    std::int64_t now_ms = 0;
  };
  const auto fail = [](TargetObservations& observations) {
    observations.OnFailure("a", At(0));
  };
  const auto slow = [](TargetObservations& observations) {
    observations.OnResult("a", kMs * 400, At(0));
    for (const char* target : {"b", "c"}) {
      observations.OnResult(target, kMs * 10, At(4000));
    }
  };
  const std::vector<Case> cases = {
      {[](TargetObservations&) {}, {}, "abc"},
      {[](TargetObservations& observations) {
         observations.OnQueueReport("a", 1);
       },
       {},
       "abc"},
      {[](TargetObservations& observations) {
         observations.OnQueueReport("a", 2);
       },
       {},
       "bac"},
      {[](TargetObservations& observations) {
         observations.OnQueueReport("a", 12);
       },
       {},
       "bca"},
      {[](TargetObservations& observations) {
         observations.OnStart("a");
         observations.OnStart("a");
       },
       {},
       "bac"},
      {[](TargetObservations& observations) {
         observations.SetTarget("b", "near", 2, false);
       },
       {"a"},
       "ca"},
      {fail, {}, "bca", 1999},
      {fail, {}, "abc", 2000},
      {slow, {}, "bca", 0},
      {slow, {}, "abc", 4000},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    ChoiceFixture fixture;
    cases[i].change(*fixture.observations);
    const ReplicaOrder order =
        MakeOwnerOrder(fixture.observations, fixture.random);
    BOOST_TEST_CONTEXT("case " << i) {
      BOOST_TEST(fixture.Order(order, cases[i].tried, cases[i].now_ms) ==
                 cases[i].expected);
    }
  }
}

// Guards against a random order that never yields some permutation, a
// two-choice order that prefers the more loaded replica of its pair, and an
// order that differs for the same seed.
BOOST_AUTO_TEST_CASE(RandomAndTwoChoiceOrders) {
  ChoiceFixture fixture;
  const ReplicaOrder any =
      MakeRandomOrder(fixture.observations, fixture.random);
  std::set<std::string> orders;
  for (int i = 0; i < 100; ++i) {
    orders.insert(fixture.Order(any));
    BOOST_TEST(fixture.Order(any, {"b"}).back() == 'b');
  }
  BOOST_TEST(orders.size() == 6U);
  BOOST_TEST(fixture.Order(any) != "");
  fixture.observations->OnStart("a");
  fixture.observations->OnLoadReport("b", 2);
  fixture.observations->OnLoadReport("c", 3);
  const ReplicaOrder two =
      MakeTwoChoiceOrder(fixture.observations, fixture.random);
  std::set<char> first;
  for (int i = 0; i < 100; ++i) {
    first.insert(fixture.Order(two)[0]);
  }
  BOOST_TEST((first == std::set<char>{'a', 'b'}));
  std::vector<std::string> repeated;
  for (int i = 0; i < 2; ++i) {
    const ReplicaOrder seeded = MakeRandomOrder(
        fixture.observations, std::make_shared<RandomSource>(11));
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
