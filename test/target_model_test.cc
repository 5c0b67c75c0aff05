#include "util/target_standin/target_model.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard::util {

namespace {

TargetOptions SmallTarget() {
  TargetOptions options;
  options.id = "t1";
  options.slots = 2;
  options.queue_length = 1;
  options.cold_limit = 1;
  options.warm_after = 2;
  return options;
}

SubRequest Request(const std::string& attempt) {
  SubRequest request;
  request.request_id = "r";
  request.attempt_id = attempt;
  request.service = "portal";
  request.snapshot = "s1";
  request.range = {0, 100};
  return request;
}

const TimePoint kStart{std::chrono::hours(1)};

struct Fixture {
  explicit Fixture(bool cold = false) : model(Options(cold), 7) {}

  static TargetOptions Options(bool cold) {
    TargetOptions options = SmallTarget();
    options.start_cold = cold;
    return options;
  }

  Arrival Receive(const std::string& attempt) {
    const Arrival arrival = this->model.Receive(Request(attempt), kStart);
    this->started = this->model.StartQueued(kStart, this->expired);
    return arrival;
  }

  std::uint64_t Count(std::string_view name) const {
    const boost::json::object json = this->model.ToJson();
    const boost::json::value* count =
        json.at("counts").as_object().if_contains(name);
    return count == nullptr ? 0 : count->to_number<std::uint64_t>();
  }

  TargetModel model;
  std::vector<StartedExecution> started;
  std::vector<ExecutionId> expired;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(target_model_test)

// Guards against a violation of the cold limit that is not counted or does not
// raise the latency.
BOOST_AUTO_TEST_CASE(ColdExcessIsRecordedAndSlow) {
  Fixture fixture(/*cold=*/true);
  fixture.Receive("a");
  BOOST_TEST(fixture.started.size() == 1U);
  BOOST_TEST(fixture.model.ToJson().at("cold_violations").as_uint64() == 0U);
  fixture.Receive("b");
  BOOST_TEST(fixture.started.empty());
  BOOST_TEST(fixture.model.ToJson().at("cold_peak").as_uint64() == 2U);
  BOOST_TEST(fixture.model.ToJson().at("cold_violations").as_uint64() == 1U);
  LatencySource reference(SmallTarget().latency, SmallTarget().seed);
  reference.Next();
  BOOST_TEST(fixture.model.Finish(1, kStart));
  fixture.started = fixture.model.StartQueued(kStart, fixture.expired);
  BOOST_REQUIRE(fixture.started.size() == 1U);
  BOOST_TEST((fixture.started[0].latency > 10 * reference.Next()));
}

// Guards against a target that stays cold, or becomes warm before enough
// executions have completed.
BOOST_AUTO_TEST_CASE(TargetWarmsAfterCompletions) {
  Fixture fixture(/*cold=*/true);
  for (ExecutionId id = 1; id <= 2; ++id) {
    BOOST_TEST(fixture.model.ToJson().at("cold").as_bool());
    fixture.Receive("a" + std::to_string(id));
    fixture.model.Finish(id, kStart);
  }
  BOOST_TEST(!fixture.model.ToJson().at("cold").as_bool());
}

// Guards against a refused sub-request that is recorded as started.
BOOST_AUTO_TEST_CASE(FullQueueRefusesBeforeStart) {
  Fixture fixture;
  for (const char* attempt : {"a", "b", "c"}) {
    BOOST_TEST(
        (fixture.Receive(attempt).outcome == AdmissionOutcome::kAccepted));
  }
  const Arrival refused = fixture.Receive("d");
  BOOST_TEST((refused.outcome == AdmissionOutcome::kQueueFull));
  const ExecutionRecord& record = fixture.model.all_records().back();
  BOOST_TEST(record.refused.has_value());
  BOOST_TEST(!record.started.has_value());
  BOOST_TEST(fixture.Count("refused_queue_full") == 1U);
}

// Guards against a cancellation that reports a running execution as not
// started.
BOOST_AUTO_TEST_CASE(CancellationDistinguishesQueuedFromRunning) {
  Fixture fixture;
  for (const char* attempt : {"a", "b", "c"}) {
    fixture.Receive(attempt);
  }
  BOOST_TEST((fixture.model.Cancel("c", "test", kStart).outcome ==
              CancelOutcome::kNotStarted));
  BOOST_TEST((fixture.model.Cancel("a", "test", kStart).outcome ==
              CancelOutcome::kRunning));
  BOOST_TEST((fixture.model.Cancel("a", "test", kStart).outcome ==
              CancelOutcome::kUnknown));
  BOOST_TEST(!fixture.model.Finish(1, kStart));
  BOOST_TEST(fixture.model.load() == 1U);
}

// Guards against an execution that starts after its deadline has elapsed.
BOOST_AUTO_TEST_CASE(ExpiredWorkDoesNotStart) {
  Fixture fixture;
  fixture.Receive("a");
  fixture.Receive("b");
  SubRequest late = Request("c");
  late.deadline = kStart + std::chrono::milliseconds(5);
  fixture.model.Receive(late, kStart);
  fixture.model.Finish(1, kStart);
  fixture.started = fixture.model.StartQueued(
      kStart + std::chrono::milliseconds(5), fixture.expired);
  BOOST_TEST(fixture.started.empty());
  BOOST_TEST(fixture.expired.size() == 1U);
  BOOST_TEST(fixture.Count("refused_deadline") == 1U);
}

// Guards against a restart that keeps executions or the start identifier.
BOOST_AUTO_TEST_CASE(RestartLosesWorkAndBecomesCold) {
  Fixture fixture;
  fixture.Receive("a");
  const std::string before = fixture.model.start_id();
  fixture.model.Restart(kStart);
  BOOST_TEST(fixture.model.start_id() != before);
  BOOST_TEST(fixture.model.load() == 0U);
  BOOST_TEST(!fixture.model.Finish(1, kStart));
  BOOST_TEST(fixture.model.ToJson().at("cold").as_bool());
}

// Guards against a cold peak that counts executions from before the target
// became cold, which no entry host can avoid.
BOOST_AUTO_TEST_CASE(BecomingColdIgnoresEarlierWork) {
  Fixture fixture;
  fixture.Receive("a");
  fixture.Receive("b");
  fixture.model.BecomeCold();
  BOOST_TEST(fixture.model.ToJson().at("cold_peak").as_uint64() == 0U);
  fixture.Receive("c");
  BOOST_TEST(fixture.model.ToJson().at("cold_peak").as_uint64() == 1U);
  BOOST_TEST(fixture.model.ToJson().at("cold_violations").as_uint64() == 0U);
}

// Guards against an answer from a snapshot or key range that the target does
// not hold.
BOOST_AUTO_TEST_CASE(SnapshotAndRangeAreChecked) {
  Fixture fixture;
  fixture.model.snapshots.Set("portal", "s2", {{0, 50}}, /*keep_older=*/false);
  BOOST_TEST(
      (fixture.Receive("a").outcome == AdmissionOutcome::kSnapshotAbsent));
  BOOST_TEST(fixture.model.snapshots.CurrentSnapshot("portal") == "s2");
  BOOST_TEST(fixture.model.snapshots.Holds("portal", "s2", {0, 50}));
  BOOST_TEST(!fixture.model.snapshots.Holds("portal", "s2", {0, 100}));
  BOOST_TEST(fixture.model.snapshots.Holds("other", "s1", {0, 100}));
}

// Guards against latencies that cannot be reproduced from a published seed, and
// against a wrong share of slow executions.
BOOST_AUTO_TEST_CASE(LatencyIsDeterministicAndHasStragglers) {
  LatencyOptions options;
  options.slow_share = 0.1;
  LatencySource first(options, 42);
  LatencySource second(options, 42);
  int slow = 0;
  for (int i = 0; i < 1000; ++i) {
    const Duration latency = first.Next();
    BOOST_REQUIRE((latency == second.Next()));
    slow += ToMilliseconds(latency) > 4 * options.median_ms ? 1 : 0;
  }
  BOOST_TEST(slow > 50);
  BOOST_TEST(slow < 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
