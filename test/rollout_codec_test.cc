#include "platform/rollout_codec.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/store_codec.h"

namespace auburnyard {

namespace {

constexpr std::string_view kOrderKey = "op/rollout/s";

StoreChange Decoded(std::string_view key, std::string_view value) {
  return platform::DecodeRollout(
      {.key = std::string(key), .value = std::string(value), .revision = 7});
}

bool IsWithdrawn(std::string_view value) {
  const StoreChange change = Decoded(kOrderKey, value);
  const auto* withdrawn = std::get_if<RolloutWithdrawn>(&change);
  return withdrawn != nullptr && withdrawn->service == "s" &&
         withdrawn->revision == 7;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_codec_test)

// Guards against fields being decoded into the wrong member, and against an
// order that cannot be decoded and leaves the one before it in force.
BOOST_AUTO_TEST_CASE(OrdersAreRead) {
  const StoreChange change = Decoded(
      kOrderKey, R"({"service":"s","target_version":"v2","period_s":12.5})");
  const auto* order = std::get_if<RolloutOrder>(&change);
  BOOST_REQUIRE(order != nullptr);
  BOOST_TEST((*order ==
              RolloutOrder{"s", "v2", std::chrono::milliseconds(12'500), 7}));
  for (const std::string_view malformed :
       {"", "{", "[]", R"({"service":"s","period_s":12})",
        R"({"service":"t","target_version":"v2","period_s":12})",
        R"({"service":"s","target_version":"","period_s":12})",
        R"({"service":"s","target_version":2,"period_s":12})",
        R"({"service":"s","target_version":"v2","period_s":-1})",
        R"({"service":"s","target_version":"v2"})"}) {
    BOOST_TEST(IsWithdrawn(malformed));
  }
}

// Guards against a status that other readers of the store do not understand,
// and against writes without their conditions.
BOOST_AUTO_TEST_CASE(StatusIsWrittenConditionally) {
  const StoreTransaction transaction =
      platform::EncodeRollout({.service = "s",
                               .order_revision = 7,
                               .status_revision = 9,
                               .stage_revision = 8,
                               .state = RolloutState::kRolledBack,
                               .target_version = "v2",
                               .obsolete_reporters = {"h1"}});
  BOOST_REQUIRE(transaction.puts.size() == 1U);
  BOOST_TEST(transaction.puts[0].key == "status/rollout/s");
  BOOST_TEST(
      (boost::json::parse(transaction.puts[0].value) ==
       boost::json::parse(R"({"state":"rolled_back","target_version":"v2"})")));
  BOOST_REQUIRE(transaction.expected.size() == 2U);
  BOOST_TEST(transaction.expected[0].key == kOrderKey);
  BOOST_TEST(transaction.expected[0].revision == 7U);
  BOOST_TEST(transaction.expected[1].revision == 9U);
  BOOST_TEST(transaction.removed.size() == 2U);
  const HttpCall call =
      platform::MakeStoreCodec().encode_transaction(transaction);
  BOOST_TEST(call.path == "/kv-txn");
  const boost::json::value body = boost::json::parse(call.body);
  BOOST_TEST(body.at("expected_rev").as_array().size() == 2U);
  BOOST_TEST(body.at("remove").as_array().size() == 2U);
}

// Guards against a rollout whose end exceeds the 32 entries of a transaction.
BOOST_AUTO_TEST_CASE(EndFitsIntoOneTransaction) {
  HostTable hosts;
  RolloutTable table("h0", hosts);
  const TimePoint now{std::chrono::hours(1)};
  table.SetLimits({.exposure_share = 0.1, .exposure_margin = 50});
  table.OnOrder({"s", "v2", std::chrono::milliseconds(0), 1}, now);
  for (int i = 1; i <= 75; ++i) {
    table.OnReport(
        {.service = "s", .host = "h" + std::to_string(i), .order_revision = 1},
        now);
  }
  const auto writes =
      table.Poll(now + std::chrono::seconds(30),
                 [](std::string_view) { return RolloutTargets(); });
  BOOST_TEST(writes.empty());
  const auto later =
      table.Poll(now + std::chrono::seconds(60),
                 [](std::string_view) { return RolloutTargets(); });
  BOOST_REQUIRE(later.size() == 1U);
  const StoreTransaction transaction = platform::EncodeRollout(later.front());
  BOOST_TEST(transaction.expected.size() + transaction.puts.size() +
                 transaction.removed.size() <=
             32U);
}

// Guards against evidence that changes on its way to other hosts.
BOOST_AUTO_TEST_CASE(StagesAndReportsAreReadBack) {
  RolloutWrite write{.kind = RolloutWrite::Kind::kReport, .service = "s"};
  write.report = {.service = "s",
                  .host = "h1",
                  .order_revision = 7,
                  .elapsed = std::chrono::milliseconds(1'234),
                  .counts = {.all = 50, .exposed = 4}};
  KindEvidence& kind = write.report.evidence["100/5"];
  kind.new_version.AddFailure();
  kind.new_version.AddReply(std::chrono::milliseconds(40));
  kind.old_version.AddReply(std::chrono::seconds(100'000));
  kind.before.AddUntimedReply();
  const StoreTransaction reported = platform::EncodeRollout(write);
  const StoreChange change =
      Decoded(reported.puts[0].key, reported.puts[0].value);
  const auto* report = std::get_if<RolloutReport>(&change);
  BOOST_REQUIRE(report != nullptr);
  BOOST_TEST(report->host == "h1");
  BOOST_TEST(report->elapsed.count() == 1'234);
  BOOST_TEST((report->counts == write.report.counts));
  BOOST_TEST((report->evidence == write.report.evidence));
  write.kind = RolloutWrite::Kind::kStage;
  write.order_revision = 7;
  write.stage = RolloutStage::kHalf;
  const StoreTransaction staged = platform::EncodeRollout(write);
  const StoreChange stage = Decoded(staged.puts[0].key, staged.puts[0].value);
  const auto* record = std::get_if<RolloutStageRecord>(&stage);
  BOOST_REQUIRE(record != nullptr);
  BOOST_TEST((record->stage == RolloutStage::kHalf));
  BOOST_TEST(record->order_revision == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
