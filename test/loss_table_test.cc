#include "src/cli/loss_table.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

#include "auburnyard/loss_cause.h"
#include "test/fan_out_fixture.h"

namespace auburnyard::cli {

namespace {

using test::FanOutFixture;

constexpr const char* kRecordedLog =
    R"(  0.10 front-a {"time":"2026-07-19T21:13:55.100000Z","event":"host_started"}
  0.20 front-a {"time":"2026-07-19T21:13:55.200000Z","event":"request_impaired","request":"1","route":"r","from_peer":false,"kind":"answered","missing":2,"causes":{"slow":1,"missing_from_bundle":1},"objective_ms":120,"latency_ms":110.5,"omitted":0}
  0.19 front-b {"time":"2026-07-19T21:13:55.190000Z","event":"request_impaired","request":"1","route":"r","from_peer":true,"kind":"answered","missing":1,"causes":{"waiting_for_connection":1},"objective_ms":120,"latency_ms":80,"omitted":0}
  1.00 front-a {"time":"2026-07-19T21:13:56.000000Z","event":"request_impaired","request":"2","route":"r","from_peer":false,"kind":"answered","missing":0,"causes":{"slow":3},"objective_ms":120,"latency_ms":160,"omitted":4}
  3.50 front-a {"time":"2026-07-19T21:13:58.500000Z","event":"request_refused","request":"3","route":"r","from_peer":false,"kind":"coverage_too_low","missing":0,"causes":{"lost":4},"objective_ms":120,"latency_ms":30,"omitted":0}
  3.60 front-a {"time":"2026-07-19T21:13:58.600000Z","event":"request_refused","request":"4","kind":"no_configuration","status":503,"omitted":0}
)";

LossCount RowOf(const LossTable& table,
                const std::string& outcome,
                const std::string& cause,
                bool fetching = false) {
  const auto found =
      table.rows.find({.route = outcome == "no_configuration" ? "" : "r",
                       .outcome = outcome,
                       .cause = cause,
                       .fetching = fetching});
  return found == table.rows.end() ? LossCount() : found->second;
}

std::uint32_t PartsWith(const FanOut& fan_out, LossCause cause) {
  return fan_out.losses().at(static_cast<std::size_t>(cause));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(loss_table_test)

// Guards against losses that are counted twice, under the wrong cause or in the
// wrong window.
BOOST_AUTO_TEST_CASE(RecordedLogGivesTheStatedCounts) {
  std::istringstream input(kRecordedLog);
  std::size_t unreadable_lines = 0;
  const std::vector<LogLine> lines = ReadLog(input, "file", unreadable_lines);
  const LossTable table = BuildLossTable(lines, std::chrono::seconds(2));
  BOOST_TEST(table.rows.size() == 6U);
  BOOST_TEST((RowOf(table, "missing parts", "slow") == LossCount{1, 1}));
  BOOST_TEST((RowOf(table, "missing parts", "missing_from_bundle") ==
              LossCount{1, 1}));
  BOOST_TEST((RowOf(table, "missing parts", "waiting_for_connection", true) ==
              LossCount{1, 1}));
  BOOST_TEST((RowOf(table, "late", "slow") == LossCount{1, 3}));
  BOOST_TEST((RowOf(table, "coverage_too_low", "lost") == LossCount{1, 4}));
  BOOST_TEST((RowOf(table, "no_configuration", "-") == LossCount{1, 0}));
  BOOST_TEST(table.omitted_requests == 4U);
  BOOST_REQUIRE(table.windows.size() == 2U);
  BOOST_TEST((table.windows.at(0) == LossCount{2, 5}));
  BOOST_TEST((table.windows.at(2) == LossCount{2, 4}));
}

// Guards against log lines of another version, with fields of another type.
BOOST_AUTO_TEST_CASE(UnexpectedFieldsAreIgnored) {
  std::istringstream input(
      R"({"time":1,"event":"request_refused","causes":[1],"omitted":"x"}
{"event":"request_impaired","causes":{"slow":"many"},"from_peer":2}
{"event":"request_impaired","causes":{"slow":-1,"lost":0.5},"omitted":-3}
)");
  std::size_t unreadable_lines = 0;
  const std::vector<LogLine> lines = ReadLog(input, "file", unreadable_lines);
  const LossTable table = BuildLossTable(lines, std::chrono::seconds(2));
  BOOST_TEST(table.windows.empty());
  BOOST_TEST(table.rows.size() == 3U);
  BOOST_TEST(table.omitted_requests == 0U);
}

// Guards against two causes with one name.
BOOST_AUTO_TEST_CASE(CausesHaveDistinctNames) {
  for (std::size_t i = 0; i < kLossCauseCount; ++i) {
    const auto cause = static_cast<LossCause>(i);
    BOOST_TEST((ParseLossCause(ToString(cause)) == cause));
  }
  BOOST_TEST(!ParseLossCause("other"));
}

// Guards against missing parts whose cause cannot be told afterwards: one was
// never sent, one got no reply, one was lost, one has no target.
BOOST_AUTO_TEST_CASE(MissingPartsHaveTheirCause) {
  FanOutFixture fixture(4);
  fixture.unavailable = "d";
  fixture.replica_count = 1;
  fixture.route.min_coverage = 0;
  FanOut& fan_out = fixture.Start();
  fan_out.OnSent(fixture.sent[1].id);
  fan_out.OnSent(fixture.sent[2].id);
  fixture.Fail(2, PartFailure::kLost, 20);
  fan_out.OnTimer(FanOutFixture::At(100));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 0U);
  BOOST_TEST(PartsWith(fan_out, LossCause::kWaitingForConnection) == 1U);
  BOOST_TEST(PartsWith(fan_out, LossCause::kSlow) +
                 PartsWith(fan_out, LossCause::kStalled) ==
             1U);
  BOOST_TEST(PartsWith(fan_out, LossCause::kLost) == 1U);
  BOOST_TEST(PartsWith(fan_out, LossCause::kNoTarget) == 1U);
}

// Guards against a late answer without a cause: what it waited for at the
// objective counts, not what came afterwards.
BOOST_AUTO_TEST_CASE(LateAnswersHaveTheCauseAtTheObjective) {
  FanOutFixture fixture(2);
  fixture.route.min_coverage = 1;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 10);
  BOOST_TEST((fan_out.NextTimer() <= FanOutFixture::At(100)));
  fan_out.OnTimer(FanOutFixture::At(100));
  fixture.Reply(1, 150);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(PartsWith(fan_out, LossCause::kSlow) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::cli
