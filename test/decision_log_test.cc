#include "auburnyard/decision_log.h"

#include <thread>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "auburnyard/explain.h"
#include "test/fixed_seed.h"

namespace auburnyard {

namespace {

DecisionRecord SampleRecord(std::uint32_t attempt) {
  return {.time = std::chrono::microseconds(attempt),
          .decision = "n1-7",
          .event = DecisionEvent::kHedge,
          .reason = Reason::kHedgeDelayElapsed,
          .target = "a1",
          .shard = "k0",
          .attempt = attempt,
          .snapshot = "s1",
          .start_id = "",
          .numbers = {{NumberName::kBegin, 0}, {NumberName::kEnd, ~0ULL}}};
}

std::string RandomText() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

DecisionRecord RandomRecord() {
  DecisionRecord record;
  record.time = Duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000) * 1000);
  record.decision = "d";
  record.event = static_cast<DecisionEvent>(
      *rc::gen::inRange<std::size_t>(0, kDecisionEventCount));
  if (*rc::gen::arbitrary<bool>()) {
    record.reason =
        static_cast<Reason>(*rc::gen::inRange<std::size_t>(0, kReasonCount));
  }
  record.target = RandomText();
  record.shard = RandomText();
  record.attempt =
      *rc::gen::element<std::uint32_t>(0, 127, 128, 99'999, kNoAttempt);
  const auto count =
      *rc::gen::inRange<std::size_t>(0, DecisionNumbers::kCapacity + 1);
  for (std::size_t i = 0; i < count; ++i) {
    record.numbers.Add(static_cast<NumberName>(i),
                       *rc::gen::arbitrary<std::uint64_t>());
  }
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(decision_log_test)

// Guards against a record that changes in a round trip through the binary
// encoding or JSON.
BOOST_AUTO_TEST_CASE(RecordsAreKeptUnchanged) {
  BOOST_TEST(rc::check("round trip", [] {
    DecisionLog log;
    std::vector<DecisionRecord> records;
    for (int i = 0; i < 5; ++i) {
      records.push_back(RandomRecord());
      log.Append(records.back());
    }
    RC_ASSERT(log.Find("d") == records);
  }));
  const DecisionRecord record = SampleRecord(3);
  BOOST_TEST((ParseDecisionRecord(SerializeDecisionRecord(record)) == record));
}

// Guards against a log that exceeds its limits, and against the eviction of the
// newest decision.
BOOST_AUTO_TEST_CASE(OldestDecisionsAreDropped) {
  DecisionLog log({.decisions = 160, .bytes = 64 * 1024});
  for (std::uint32_t i = 0; i < 10'000; ++i) {
    DecisionRecord record = SampleRecord(i);
    record.decision = "n1-" + std::to_string(i);
    log.Append(record);
  }
  BOOST_TEST(log.decisions() <= 160U);
  BOOST_TEST(log.bytes() <= 64U * 1024U);
  BOOST_TEST(log.Find("n1-9999").size() == 1U);
  BOOST_TEST(log.Find("n1-0").empty());
}

// Guards against a decision with many records that evicts all others.
BOOST_AUTO_TEST_CASE(OneDecisionIsBounded) {
  DecisionLog log({.bytes_per_decision = 1024});
  for (std::uint32_t i = 0; i < 1000; ++i) {
    log.Append(SampleRecord(i));
  }
  BOOST_TEST(log.Find("n1-7").size() < 100U);
  BOOST_TEST(log.dropped_records() > 900U);
}

// Guards against data races between the query path and `explain`. Effective
// only with the thread sanitizer.
BOOST_AUTO_TEST_CASE(ConcurrentUse) {
  DecisionLog log({.decisions = 32});
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&log, thread] {
      for (std::uint32_t i = 0; i < 500; ++i) {
        DecisionRecord record = SampleRecord(i);
        record.decision = std::to_string(i % 50 + thread);
        log.Append(record);
        log.Find(std::to_string(i % 50));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(log.decisions() <= 32U);
}

// Guards against an explanation without the target that answered, a rejected
// attempt or the outcome.
BOOST_AUTO_TEST_CASE(ExplanationNamesTargetsAndReasons) {
  const auto record = [](int ms, DecisionEvent event, std::uint32_t attempt,
                         std::string target, std::string shard, Reason reason) {
    DecisionRecord result;
    result.time = std::chrono::milliseconds(ms);
    result.decision = "n1-7";
    result.event = event;
    result.attempt = attempt;
    result.target = std::move(target);
    result.shard = std::move(shard);
    result.reason = reason;
    return result;
  };
  std::vector<DecisionRecord> records = {
      record(10, DecisionEvent::kAttemptStarted, 0, "a1", "k0",
             Reason::kFirstAttempt),
      record(11, DecisionEvent::kGateRejected, 0, "a1", "",
             Reason::kQueueDelay),
      record(11, DecisionEvent::kRetry, 1, "a2", "k0", Reason::kQueueDelay),
      record(15, DecisionEvent::kResult, 1, "a2", "", Reason::kCompleted),
      record(15, DecisionEvent::kFinished, kNoAttempt, "", "",
             Reason::kCompleted)};
  records.back().numbers.Add(NumberName::kCoveragePpm, 1'000'000);
  const boost::json::object explanation = ExplainDecision(records);
  BOOST_TEST(explanation.at("outcome").as_string() == "complete");
  BOOST_TEST(FormatExplanation(explanation) ==
             "decision n1-7: complete\n"
             "retries 1, hedges 0, restarts 0, rejections 1\n"
             "    +5.000 ms  finished reason=completed "
             "coverage_ppm=1000000\n"
             "shard k0: answered by a2\n"
             "    +0.000 ms  attempt_started reason=first_attempt target=a1 "
             "attempt=0\n"
             "    +1.000 ms  gate_rejected reason=queue_delay target=a1 "
             "attempt=0\n"
             "    +1.000 ms  retry reason=queue_delay target=a2 attempt=1\n"
             "    +5.000 ms  result reason=completed target=a2 attempt=1\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
