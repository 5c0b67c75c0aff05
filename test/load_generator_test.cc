#include "util/load_driver/load_generator.h"

#include <numeric>

#include <boost/test/unit_test.hpp>

#include "src/net/http_server.h"
#include "util/load_driver/load_report.h"

namespace auburnyard::util {

namespace {

LoadOptions SmallLoad() {
  LoadOptions options;
  options.hosts = {"127.0.0.1:1", "127.0.0.1:2"};
  options.services = {{"portal", 1.0}};
  options.rate = 1000;
  options.duration = std::chrono::milliseconds(100);
  options.deadline = std::chrono::milliseconds(50);
  return options;
}

LoadSample Answer(int latency_ms, double coverage) {
  LoadSample sample;
  sample.latency = std::chrono::milliseconds(latency_ms);
  sample.priority = "normal";
  sample.coverage = coverage;
  return sample;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_generator_test)

// Guards against runs that cannot be repeated from a published seed.
BOOST_AUTO_TEST_CASE(ScheduleDependsOnSeedOnly) {
  ArrivalSchedule first(SmallLoad());
  ArrivalSchedule second(SmallLoad());
  Duration last{};
  for (int i = 0; i < 1000; ++i) {
    const PlannedRequest planned = first.Next();
    const PlannedRequest repeated = second.Next();
    BOOST_REQUIRE((planned.offset == repeated.offset));
    BOOST_REQUIRE(planned.host == repeated.host);
    last = planned.offset;
  }
  // 1000 arrivals at 1000/s take about 1 s.
  BOOST_TEST((last > std::chrono::milliseconds(850)));
  BOOST_TEST((last < std::chrono::milliseconds(1150)));
}

// Guards against quantiles that are off by one rank.
BOOST_AUTO_TEST_CASE(QuantilesAreExact) {
  std::vector<double> values(1000);
  std::iota(values.begin(), values.end(), 1.0);
  BOOST_TEST(Quantile(values, 0.5) == 500.0);
  BOOST_TEST(Quantile(values, 0.99) == 990.0);
  BOOST_TEST(Quantile(values, 0.999) == 999.0);
  BOOST_TEST(Quantile({7.0}, 0.99) == 7.0);
  BOOST_TEST(Quantile({}, 0.5) == 0.0);
}

// Guards against counting refusals in a way that improves latency or coverage.
BOOST_AUTO_TEST_CASE(RefusalsAreCountedApart) {
  std::vector<LoadSample> samples = {Answer(10, 1.0), Answer(80, 0.5)};
  samples.push_back({.priority = "normal", .refusal = "overloaded"});
  const boost::json::object report =
      SummarizeSamples(samples, std::chrono::milliseconds(50));
  BOOST_TEST(report.at("requests").to_number<int>() == 3);
  BOOST_TEST(report.at("answered").to_number<int>() == 2);
  BOOST_TEST(report.at("coverage_mean").as_double() == 0.75);
  BOOST_TEST(report.at("below_full_share").as_double() == 0.5);
  BOOST_TEST(report.at("in_time_share").as_double() == 1.0 / 3);
  BOOST_TEST(report.at("p50_ms").as_double() == 10.0);
  BOOST_TEST(report.at("refusals").at("overloaded").to_number<int>() == 1);
}

// Guards against coordinated omission: a server that never answers must not
// slow the generator.
BOOST_AUTO_TEST_CASE(SilentServerDoesNotSlowTheGenerator) {
  boost::asio::io_context context(1);
  std::size_t received = 0;
  std::vector<HttpResponder> held;
  const auto server = std::make_shared<HttpServer>(
      context, HttpServerLimits(),
      [&](const HttpRequest&, const HttpResponder& respond) {
        ++received;
        held.push_back(respond);
      });
  server->Listen("127.0.0.1", 0);
  LoadOptions options = SmallLoad();
  options.hosts = {"127.0.0.1:" + std::to_string(server->port())};
  std::size_t planned = 0;
  for (ArrivalSchedule schedule(options);
       schedule.Next().offset < options.duration;) {
    ++planned;
  }
  LoadGenerator generator(context, options);
  generator.Start();
  while (received < planned && context.run_one() > 0) {
  }
  BOOST_TEST(received == planned);
  BOOST_TEST(generator.samples().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
