#include "auburnyard/rollout.h"

#include <boost/test/unit_test.hpp>

#include "test/property.h"
#include "test/rollout_simulation.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::RolloutSimulation;
using Answer = RolloutSimulation::Answer;
using Options = RolloutSimulation::Options;
using Result = RolloutSimulation::Result;

constexpr milliseconds kPeriod{12'000};
// Requests that are chosen while a verdict is on its way, and rounding.
constexpr double kSlowFactor = 4;

double LimitOf(const Result& result) {
  return 0.1 * static_cast<double>(result.requests) + 50;
}

// Every 20th answer is delayed by a pause, of any version.
Answer Usual(std::mt19937_64& random) {
  constexpr double kPauseMs = 250;
  Answer answer;
  answer.latency_ms = std::lognormal_distribution<double>(3, 0.3)(random);
  if (random() % 20 == 0) {
    answer.latency_ms += kPauseMs;
  }
  return answer;
}

using Fault = std::function<
    void(Answer& answer, std::string_view kind, double since_order)>;

// The fault applies to this share of the answers of the new version.
Options WithFault(std::uint64_t seed, double share, Fault fault) {
  Options options;
  options.seed = seed;
  options.period = kPeriod;
  options.answer = [random = std::make_shared<std::mt19937_64>(seed), share,
                    fault = std::move(fault)](
                       bool is_new, std::string_view kind, double since) {
    Answer answer = Usual(*random);
    if (is_new && std::bernoulli_distribution(share)(*random)) {
      fault(answer, kind, since);
    }
    return answer;
  };
  return options;
}

Options Good(std::uint64_t seed) {
  return WithFault(seed, 0, {});
}

Options Failing(std::uint64_t seed, double share) {
  return WithFault(seed, share, [](Answer& answer, std::string_view, double) {
    answer.success = false;
  });
}

void CheckRolledBack(const Result& result) {
  BOOST_TEST((result.state == RolloutState::kRolledBack));
  BOOST_TEST(result.decided_ms <= static_cast<double>(kPeriod.count()));
  BOOST_TEST(static_cast<double>(result.exposed) <= LimitOf(result));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_test)

// Guards against good versions that are rolled back, or complete after the
// deadline or before hosts have stopped sending to the old targets.
BOOST_AUTO_TEST_CASE(GoodVersionCompletesInTime) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const Result result = RolloutSimulation(Good(seed)).Run(kPeriod);
    BOOST_TEST((result.state == RolloutState::kComplete));
    BOOST_TEST(result.decided_ms < static_cast<double>(kPeriod.count()));
    BOOST_TEST(result.last_old_ms + 500 < result.decided_ms);
  }
}

// Guards against a version with a part of failures that is not rolled back or
// gets more than the exposure limit.
BOOST_AUTO_TEST_CASE(FailingVersionIsRolledBack) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (const double share : {0.25, 0.5, 1.0}) {
      const Result result =
          RolloutSimulation(Failing(seed, share)).Run(kPeriod);
      CheckRolledBack(result);
      BOOST_TEST(result.reason == "failures");
    }
  }
}

// Guards against a version that is found bad only by its failures.
BOOST_AUTO_TEST_CASE(SlowVersionIsRolledBack) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CheckRolledBack(RolloutSimulation(
                        WithFault(seed, 0.4,
                                  [](Answer& answer, std::string_view, double) {
                                    answer.latency_ms *= kSlowFactor;
                                  }))
                        .Run(kPeriod));
  }
}

// Guards against badness that begins after good answers, and on one route only.
BOOST_AUTO_TEST_CASE(LateAndPartialBadnessIsRolledBack) {
  constexpr double kStartMs = 5'000;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CheckRolledBack(
        RolloutSimulation(
            WithFault(seed, 0.5,
                      [](Answer& answer, std::string_view, double since) {
                        answer.success = since < kStartMs;
                      }))
            .Run(kPeriod));
    CheckRolledBack(RolloutSimulation(
                        WithFault(seed, 0.6,
                                  [](Answer& answer, std::string_view kind,
                                     double) { answer.success = kind != "a"; }))
                        .Run(kPeriod));
  }
}

// Guards against a verdict that cannot be reversed in the last stages.
BOOST_AUTO_TEST_CASE(BadnessInTheLastStageIsRolledBack) {
  constexpr double kLastStageMs = 8'000;
  const Result result =
      RolloutSimulation(
          WithFault(3, 0.6,
                    [](Answer& answer, std::string_view, double since) {
                      answer.success = since < kLastStageMs;
                    }))
          .Run(kPeriod);
  BOOST_TEST((result.state == RolloutState::kRolledBack));
  BOOST_TEST(result.last_exposure_ms < kLastStageMs + 5'000);
}

// Guards against slowness of all targets that is attributed to the version.
BOOST_AUTO_TEST_CASE(CommonCauseIsNotAttributedToTheVersion) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Options options = Good(seed);
    options.answer = [random = std::make_shared<std::mt19937_64>(seed)](
                         bool, std::string_view, double since) {
      Answer answer = Usual(*random);
      answer.latency_ms *= since > 500 ? kSlowFactor : 1;
      return answer;
    };
    const Result result = RolloutSimulation(options).Run(kPeriod);
    BOOST_TEST((result.state == RolloutState::kComplete));
  }
}

// Guards against a decision that depends on one host.
BOOST_AUTO_TEST_CASE(AnotherHostContinuesWhenTheDecidingOneIsGone) {
  for (const milliseconds crash_at :
       {milliseconds(50), milliseconds(700), milliseconds(6'000),
        milliseconds(6'300), milliseconds(7'600), milliseconds(10'000)}) {
    for (const double share : {0.0, 0.5}) {
      Options options = Failing(5, share);
      options.step = [crash_at, done = false](RolloutSimulation& run) mutable {
        if (!done && run.since_order() >= ToMilliseconds(crash_at)) {
          done = true;
          run.Kill(run.Decider());
        }
      };
      const Result result = RolloutSimulation(options).Run(kPeriod);
      BOOST_TEST_CONTEXT("crash at " << crash_at.count() << ", share " << share
                                     << ", reason " << result.reason)
      BOOST_TEST((result.state == (share == 0 ? RolloutState::kComplete
                                              : RolloutState::kRolledBack)));
      BOOST_TEST(result.decided_ms <= static_cast<double>(kPeriod.count()));
    }
  }
}

// Guards against double decisions by writes that are executed without a
// response, or late.
BOOST_AUTO_TEST_CASE(LostResponsesDoNoHarm) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Options options = Good(seed);
    options.lost_responses = 0.3;
    RolloutSimulation run(options);
    BOOST_TEST((run.Run(kPeriod + milliseconds(4'000)).state ==
                RolloutState::kComplete));
    BOOST_TEST(run.stage_writes() == 2);
    options = Failing(seed, 0.5);
    options.lost_responses = 0.3;
    CheckRolledBack(RolloutSimulation(options).Run(kPeriod));
  }
}

// Guards against exposure beyond the limit, whatever the arrivals are, while
// hosts die and restart and evidence arrives late. The version fails always or
// never answers in time to be judged, so that the budget alone must hold.
BOOST_AUTO_TEST_CASE(ExposureStaysWithinTheLimit) {
  const std::string failure = test::CounterExample(7, [] {
    Options options = Failing(*rc::gen::inRange<std::uint64_t>(1, 1'000),
                              *rc::gen::element(0.2, 0.5, 1.0));
    options.domains = 3;
    options.hosts_per_domain = *rc::gen::inRange<std::size_t>(2, 9);
    options.fetchers_only = *rc::gen::arbitrary<bool>();
    options.requests_per_second = *rc::gen::element(5.0, 40.0, 120.0);
    options.max_watch_delay = milliseconds(*rc::gen::inRange(100, 2'500));
    options.period = milliseconds(6'000);
    const int crash_every = *rc::gen::inRange(50, 400);
    options.step = [crash_every, count = 0](RolloutSimulation& run) mutable {
      if (++count % crash_every == 0) {
        run.Restart(static_cast<std::size_t>(count) % run.size());
      }
    };
    const Result result = RolloutSimulation(options).Run(milliseconds(2'700));
    RC_ASSERT(static_cast<double>(result.exposed) <= LimitOf(result));
  });
  BOOST_TEST(failure == "");
}

// Guards against exposure that rises while the store is unavailable, and
// against a bad verdict that waits for it.
BOOST_AUTO_TEST_CASE(WithoutTheStoreExposureDoesNotRise) {
  Options options = Good(2);
  options.step = [](RolloutSimulation& run) {
    run.store_available = run.since_order() < 4'000;
  };
  const Result result = RolloutSimulation(options).Run(kPeriod);
  BOOST_TEST((result.state == RolloutState::kRunning));
  BOOST_TEST(result.last_exposure_ms <= 4'010);
  BOOST_TEST(static_cast<double>(result.exposed) <= LimitOf(result));
}

// Guards against exposure by an order that is withdrawn, and against a service
// that stays in the running state.
BOOST_AUTO_TEST_CASE(WithdrawnOrderIsRolledBack) {
  Options options = Good(2);
  options.step = [done = false](RolloutSimulation& run) mutable {
    if (!done && run.since_order() > 3'000) {
      done = true;
      run.Withdraw();
    }
  };
  const Result result = RolloutSimulation(options).Run(kPeriod);
  BOOST_TEST((result.state == RolloutState::kRolledBack));
  BOOST_TEST(result.last_exposure_ms < 4'000);
}

// Guards against a second margin for an order that is written again, and
// against one order that blocks the next.
BOOST_AUTO_TEST_CASE(RepeatedAndReplacedOrders) {
  Options options = Failing(2, 0.0);
  options.step = [count = 0](RolloutSimulation& run) mutable {
    if (++count % 100 == 0 && count <= 300) {
      run.Order("v2", kPeriod);
    }
  };
  const Result repeated = RolloutSimulation(options).Run(milliseconds(5'000));
  BOOST_TEST(static_cast<double>(repeated.exposed) <= LimitOf(repeated));
  options.step = nullptr;
  RolloutSimulation run(options);
  BOOST_TEST((run.Run(kPeriod).state == RolloutState::kComplete));
  run.Order("v3", kPeriod);
  run.Run(milliseconds(0));
  BOOST_TEST((run.PolicyAt(0).use == VersionUse::kNewOnly));
}

// Guards against an unknown version or service, or a period of zero, that is
// exposed or never ends.
BOOST_AUTO_TEST_CASE(OrdersThatCannotBeCarriedOutAreRolledBack) {
  Options options = Good(2);
  options.period = milliseconds(0);
  const Result without_period =
      RolloutSimulation(options).Run(milliseconds(3'000));
  BOOST_TEST((without_period.state == RolloutState::kRolledBack));
  BOOST_TEST(without_period.exposed == 0U);
  BOOST_TEST(without_period.reason == "no_period");
  options = Good(2);
  options.targets = {.has_new = false, .has_old = true};
  options.requests_per_second = 0;
  const Result unknown = RolloutSimulation(options).Run(kPeriod);
  BOOST_TEST((unknown.state == RolloutState::kRolledBack));
  BOOST_TEST(unknown.reason == "no_targets");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
