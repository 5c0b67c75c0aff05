#include "src/net/metrics.h"

#include <set>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

BOOST_AUTO_TEST_SUITE(metrics_test)

// Guards against a reason or an error kind that is exported only after its
// first use: rate() would then miss the first increment.
BOOST_AUTO_TEST_CASE(EveryReasonIsPresentFromTheStart) {
  const Metrics metrics;
  const std::string text = metrics.Render();
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const std::string label =
        "{reason=\"" + std::string(ToString(static_cast<Reason>(i))) + "\"} 0";
    BOOST_TEST(text.find("auburnyard_rejections_total" + label) !=
               std::string::npos);
    BOOST_TEST(text.find("auburnyard_retries_total" + label) !=
               std::string::npos);
  }
  for (const ErrorDescription& error : AllErrors()) {
    BOOST_TEST(text.find("auburnyard_refusals_total{kind=\"" +
                         std::string(error.name) + "\"} 0") !=
               std::string::npos);
  }
}

// Guards against buckets that are not cumulative, that exclude their upper
// bound, or that disagree with the count and the sum.
BOOST_AUTO_TEST_CASE(HistogramIsCumulative) {
  MetricsRegistry registry;
  LatencyHistogram& histogram = registry.Histogram("h", "H.", {{"c", "x"}});
  histogram.Observe(std::chrono::milliseconds(1));
  histogram.Observe(std::chrono::nanoseconds(1'000'001));
  histogram.Observe(std::chrono::seconds(61));
  histogram.Observe(std::chrono::nanoseconds(-5));
  const std::string text = registry.Render();
  const auto has = [&text](const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
  };
  BOOST_TEST(text.starts_with("# HELP h H.\n# TYPE h histogram\n"));
  BOOST_TEST(has("h_bucket{c=\"x\",le=\"0.0005\"} 1"));
  BOOST_TEST(has("h_bucket{c=\"x\",le=\"0.001\"} 2"));
  BOOST_TEST(has("h_bucket{c=\"x\",le=\"0.0025\"} 3"));
  BOOST_TEST(has("h_bucket{c=\"x\",le=\"60\"} 3"));
  BOOST_TEST(has("h_bucket{c=\"x\",le=\"+Inf\"} 4"));
  BOOST_TEST(has("h_sum{c=\"x\"} 61.002000001"));
  BOOST_TEST(has("h_count{c=\"x\"} 4"));
  BOOST_TEST(histogram.Count() == 4U);
}

// Guards against label values and help texts that break the text format, and
// against a HELP or TYPE line that is repeated for each series of a family.
BOOST_AUTO_TEST_CASE(TextIsEscapedAndGrouped) {
  MetricsRegistry registry;
  registry.Counter("a_total", "One\nline \\ \"quoted\".", {{"l", "x\"\\\n"}})
      .Add(3);
  registry.Counter("a_total", "ignored", {{"l", "y"}});
  registry.Gauge("b", "B.").Set(1.5);
  BOOST_TEST(registry.Render() ==
             "# HELP a_total One\\nline \\\\ \"quoted\".\n"
             "# TYPE a_total counter\n"
             "a_total{l=\"x\\\"\\\\\\n\"} 3\n"
             "a_total{l=\"y\"} 0\n"
             "# HELP b B.\n"
             "# TYPE b gauge\n"
             "b 1.5\n");
  BOOST_CHECK_THROW(registry.Gauge("a_total", "", {}), Error);
  BOOST_CHECK_THROW(registry.Counter("0x", ""), Error);
  BOOST_CHECK_THROW(registry.Counter("c", "", {{"a:b", ""}}), Error);
}

// Guards against a record that is counted in the wrong metric, and against lost
// increments when several threads count concurrently.
BOOST_AUTO_TEST_CASE(RecordsAreCountedByReason) {
  Metrics metrics;
  DecisionRecord record;
  record.event = DecisionEvent::kGateRejected;
  record.reason = Reason::kQueueDelay;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metrics, &record] {
      for (int n = 0; n < 250; ++n) {
        metrics.CountRecord(record);
        metrics.ObserveSubRequest(std::chrono::milliseconds(3));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = metrics.Render();
  for (const std::string_view line :
       {"auburnyard_rejections_total{reason=\"queue_delay\"} 1000\n",
        "auburnyard_retries_total{reason=\"queue_delay\"} 0\n",
        "auburnyard_decision_events_total{event=\"gate_rejected\"} 1000\n",
        "auburnyard_sub_request_seconds_count 1000\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
