#include <boost/test/unit_test.hpp>

#include "test/fan_out_fixture.h"

namespace auburnyard {

namespace {

using test::FanOutFixture;
using Kind = FanOutResult::Kind;

// Four parts, of which the last three are fetched by one entry host.
class BundleFixture : public FanOutFixture {
 public:
  BundleFixture() : FanOutFixture(4) { this->bundled_parts = {1, 2, 3}; }

  void BundleReply(std::size_t answered,
                   std::int64_t ms,
                   std::vector<std::string> missing_services = {}) {
    RelayReply reply;
    reply.status = 200;
    reply.top_records = this->merged_with;
    reply.missing_services = std::move(missing_services);
    for (std::size_t i = 0; i < answered; ++i) {
      reply.part_signatures.push_back("bundled");
      reply.body += std::string(RecordMerger::kRecordBytes, 'z');
    }
    this->fan_out->OnBundleReply(0, std::move(reply), At(ms));
  }

  /// Maximum number of records with which the bundle was merged.
  std::optional<std::uint32_t> merged_with = this->route.top_records;
};

std::size_t CountOf(const std::vector<std::string>& texts,
                    std::string_view text) {
  return static_cast<std::size_t>(std::count(texts.begin(), texts.end(), text));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fan_out_bundle_test)

// Guards against fetching parts of a bundle directly as well.
BOOST_AUTO_TEST_CASE(BundleAnswersItsParts) {
  BundleFixture fixture;
  fixture.Start();
  BOOST_TEST(fixture.sent.size() == 1U);
  BOOST_TEST(fixture.bundles_sent == 1);
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(3, 20);
  fixture.Reply(0, 25);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 0U);
  BOOST_TEST(fixture.results.front().signatures.size() == 4U);
}

// Guards against records that are missing from the answer because the bundle
// was merged with another limit, for example by a host with another build.
BOOST_AUTO_TEST_CASE(BundleMergedWithAnotherLimitIsNotUsed) {
  for (const std::optional<std::uint32_t> limit :
       {std::optional<std::uint32_t>(1), std::optional<std::uint32_t>()}) {
    BundleFixture fixture;
    fixture.merged_with = limit;
    fixture.Start();
    fixture.SendAll();
    fixture.fan_out->OnBundleSent(0);
    fixture.Reply(0, 15);
    fixture.BundleReply(3, 20);
    BOOST_TEST(fixture.results.empty());
    // The parts are fetched directly.
    BOOST_REQUIRE_EQUAL(fixture.sent.size(), 4U);
    fixture.SendAll();
    for (std::size_t i = 1; i < 4; ++i) {
      fixture.Reply(i, 30);
    }
    BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
    BOOST_TEST(fixture.results.front().missing_parts == 0U);
    BOOST_TEST(CountOf(fixture.results.front().signatures, "bundled") == 0U);
  }
}

// Guards against a host that refuses an entire bundle because a few parts are
// missing, and against one that answers with too few parts although more may
// arrive before the deadline.
BOOST_AUTO_TEST_CASE(PartialAnswersContainTheReceivedParts) {
  FanOutFixture fixture(4);
  fixture.partial = true;
  fixture.route.min_coverage = 0.75;
  fixture.Start();
  fixture.SendAll();
  fixture.Reply(0, 20);
  fixture.Reply(1, 30);
  fixture.fan_out->OnTimer(FanOutFixture::At(100));
  BOOST_TEST(fixture.results.empty());
  fixture.fan_out->OnTimer(FanOutFixture::At(800));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kMerged));
  BOOST_TEST(fixture.results.front().missing_parts == 2U);
  BOOST_TEST(fixture.results.front().missing_services.size() == 2U);
}

// Guards against an answer without any part.
BOOST_AUTO_TEST_CASE(PartialAnswerWithoutPartsIsRefused) {
  FanOutFixture fixture(3);
  fixture.partial = true;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnTimer(FanOutFixture::At(800));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kRefusal));
}

// Guards against counting parts in the coverage that the entry host left out.
BOOST_AUTO_TEST_CASE(PartsMissingFromABundleAreCounted) {
  BundleFixture fixture;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(2, 20);
  fixture.Reply(0, 25);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 1U);
}

// Guards against a refusal long before the deadline when more parts are missing
// from the bundles than may be missing in the answer.
BOOST_AUTO_TEST_CASE(MissingPartsAreFetchedIfTheAnswerNeedsThem) {
  BundleFixture fixture;
  fixture.route.min_coverage = 1;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(2, 20, {"d"});
  BOOST_TEST(fixture.sent.size() == 1U);
  fixture.Reply(0, 25);
  BOOST_REQUIRE_EQUAL(fixture.sent.size(), 2U);
  BOOST_TEST(fixture.sent.back().id.part == 3U);
  BOOST_TEST(fixture.repeats_taken == 1);
  fixture.SendAll();
  fixture.Reply(1, 90);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 0U);
  BOOST_TEST(fixture.results.front().signatures.size() == 4U);
}

// Guards against repeats for parts that the coverage does not require.
BOOST_AUTO_TEST_CASE(MissingPartsAreLeftOutIfTheAnswerSuffices) {
  BundleFixture fixture;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(2, 20, {"d"});
  fixture.Reply(0, 25);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 1U);
  BOOST_TEST(fixture.results.front().missing_services ==
                 (std::vector<std::string>{"d"}),
             boost::test_tools::per_element());
  BOOST_TEST(fixture.sent.size() == 1U);
}

// Guards against executions at more targets than the route allows: the other
// host may have used two, and a third one is available.
BOOST_AUTO_TEST_CASE(MissingPartsAreNotFetchedIfMoreTargetsExist) {
  BundleFixture fixture;
  fixture.replica_count = 3;
  fixture.route.min_coverage = 1;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(2, 20, {"d"});
  fixture.Reply(0, 25);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kRefusal));
  BOOST_TEST(fixture.sent.size() == 1U);
}

// Guards against losing a part that was fetched directly and is missing from
// its bundle.
BOOST_AUTO_TEST_CASE(DirectPartCompletesItsBundle) {
  BundleFixture fixture;
  fixture.route.min_coverage = 1;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnBundleSent(0);
  fan_out.OnTimer(FanOutFixture::At(116));
  fixture.SendAll();
  for (std::size_t i = 0; i < fixture.sent.size(); ++i) {
    if (fixture.sent[i].id.part == 3) {
      fixture.Reply(i, 120);
      break;
    }
  }
  fixture.BundleReply(2, 125, {"d"});
  fixture.Reply(0, 130);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(fixture.results.front().missing_parts == 0U);
  BOOST_TEST(CountOf(fixture.results.front().signatures, "bundled") == 2U);
}

// Guards against losing all parts when the entry host that fetches them fails.
BOOST_AUTO_TEST_CASE(PartsOfAnUnreachableHostAreFetchedDirectly) {
  BundleFixture fixture;
  fixture.Start();
  fixture.fan_out->OnBundleFailure(0, PartFailure::kUnreachable,
                                   FanOutFixture::At(5));
  BOOST_TEST(fixture.sent.size() == 4U);
  BOOST_TEST(fixture.repeats_taken == 0);
}

// Guards against repeats that are not counted although the lost entry host may
// have sent the requests.
BOOST_AUTO_TEST_CASE(PartsOfALostBundleTakeFromTheBudget) {
  BundleFixture fixture;
  fixture.Start();
  fixture.fan_out->OnBundleSent(0);
  fixture.fan_out->OnBundleFailure(0, PartFailure::kLost, FanOutFixture::At(5));
  BOOST_TEST(fixture.sent.size() == 4U);
  BOOST_TEST(fixture.repeats_taken == 3);
}

// Guards against using the budget for parts that an entry host refused before
// it sent them to a target, for example because it has no target data yet.
BOOST_AUTO_TEST_CASE(PartsOfARefusedBundleTakeNoBudget) {
  BundleFixture fixture;
  fixture.replica_count = 3;
  fixture.Start();
  fixture.fan_out->OnBundleSent(0);
  RelayReply refusal;
  refusal.status = 503;
  fixture.fan_out->OnBundleReply(0, std::move(refusal), FanOutFixture::At(5));
  BOOST_TEST(fixture.sent.size() == 4U);
  BOOST_TEST(fixture.repeats_taken == 0);
}

// Guards against the status of a target that answers at the address of an entry
// host and is taken for the promise of that host.
BOOST_AUTO_TEST_CASE(SignedRefusalOfABundleProvesNothing) {
  BundleFixture fixture;
  fixture.replica_count = 3;
  fixture.route.min_coverage = 1;
  fixture.Start();
  fixture.fan_out->OnBundleSent(0);
  RelayReply reply;
  reply.status = 503;
  reply.signature = "signature";
  fixture.fan_out->OnBundleReply(0, std::move(reply), FanOutFixture::At(5));
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().run == RunState::kUnknown));
}

// Guards against executions at more targets than the route allows: the lost
// host may have used two, and a third one is available.
BOOST_AUTO_TEST_CASE(LostBundleIsNotRepeatedIfMoreTargetsExist) {
  BundleFixture fixture;
  fixture.replica_count = 3;
  fixture.route.min_coverage = 1;
  fixture.Start();
  fixture.fan_out->OnBundleSent(0);
  fixture.fan_out->OnBundleFailure(0, PartFailure::kLost, FanOutFixture::At(5));
  BOOST_TEST(fixture.sent.size() == 1U);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().kind == Kind::kRefusal));
}

// Guards against merging a part twice, once from the bundle and once from a
// direct attempt.
BOOST_AUTO_TEST_CASE(LateBundleReplacesDirectParts) {
  BundleFixture fixture;
  fixture.route.min_coverage = 1;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnBundleSent(0);
  fan_out.OnTimer(FanOutFixture::At(116));
  BOOST_REQUIRE(fixture.sent.size() >= 4U);
  fixture.SendAll();
  std::size_t direct = 0;
  for (std::size_t i = 0; i < fixture.sent.size() && direct == 0; ++i) {
    if (fixture.sent[i].id.part == 1) {
      direct = i;
    }
  }
  fixture.Reply(direct, 120);
  fixture.BundleReply(3, 125);
  fixture.Reply(0, 130);
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  const FanOutResult& result = fixture.results.front();
  BOOST_TEST(result.missing_parts == 0U);
  BOOST_TEST(result.signatures.size() == 4U);
  BOOST_TEST(CountOf(result.signatures, "bundled") == 3U);
}

// Guards against dropping direct parts in favour of a bundle with fewer parts.
BOOST_AUTO_TEST_CASE(DirectPartsArePreferredToASmallerBundle) {
  BundleFixture fixture;
  FanOut& fan_out = fixture.Start();
  fixture.SendAll();
  fan_out.OnBundleSent(0);
  fan_out.OnTimer(FanOutFixture::At(116));
  fixture.SendAll();
  for (std::size_t i = 0; i < fixture.sent.size(); ++i) {
    if (fixture.sent[i].id.part == 1 && fixture.results.empty()) {
      fixture.Reply(i, 120);
    }
  }
  fixture.BundleReply(1, 125);
  if (fixture.results.empty()) {
    fixture.Reply(0, 130);
  }
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST(CountOf(fixture.results.front().signatures, "bundled") == 0U);
}

// Guards against a reply with more parts than were requested.
BOOST_AUTO_TEST_CASE(BundleWithTooManyPartsIsRefused) {
  BundleFixture fixture;
  fixture.Start();
  fixture.SendAll();
  fixture.fan_out->OnBundleSent(0);
  fixture.BundleReply(4, 20);
  BOOST_TEST(fixture.results.empty());
  BOOST_TEST(fixture.sent.size() == 4U);
}

// Guards against sending a bundle after its parts were requested directly.
BOOST_AUTO_TEST_CASE(UnsentBundleIsAbandonedWhenItIsSplit) {
  BundleFixture fixture;
  FanOut& fan_out = fixture.Start();
  fan_out.OnTimer(FanOutFixture::At(116));
  BOOST_TEST(fixture.bundles_abandoned == 1);
  BOOST_TEST(fixture.sent.size() >= 4U);
}

// Guards against work of an entry host for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(CancelAbandonsBundles) {
  BundleFixture fixture;
  FanOut& fan_out = fixture.Start();
  fan_out.Cancel();
  BOOST_TEST(fixture.bundles_abandoned == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
