#include <numeric>

#include <boost/test/unit_test.hpp>

#include "src/relay/request_admission.h"
#include "test/fan_out_fixture.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::RelayServiceFixture;

constexpr TimePoint kStart{std::chrono::seconds(1'000)};
constexpr RequestKind kKind{milliseconds(400), 10, 1};
constexpr const char* kUsualLoad = "0, 0, 2, 100";
constexpr const char* kHighLoad = "2, 90, 2, 900";
constexpr const char* kHighLoadWithoutSpeed = "2, 90, 2";

// A host that fetches bundles of one part from a target.
class FetcherFixture : public RelayServiceFixture {
 public:
  FetcherFixture() {
    this->SetRoute(true, milliseconds(5'000));
    this->targets.Upsert(Entry("t", this->server.address()));
    for (int i = 0; i < 12; ++i) {  // until the usual work is known
      BOOST_REQUIRE(this->Bundle(0).starts_with("HTTP/1.1 200"));
    }
  }
  /// Head of the answer to a bundle.
  std::string Bundle(std::optional<std::uint32_t> refusable) {
    CallerRequest request;
    request.host = "h";
    request.path = "/all/x";
    request.request_id = "r" + std::to_string(++this->asked);
    request.forwarded_head = "POST /all/x HTTP/1.1\r\n" +
                             std::string(platform::kRequestId) + ": " +
                             request.request_id + "\r\n";
    request.bundle = BundleRequest{.shards = {"s"},
                                   .top_records = 1,
                                   .latency_objective = milliseconds(20),
                                   .refusable_missing_parts = refusable};
    std::optional<std::string> head;
    this->service.Handle(
        std::move(request),
        [&head](const CallerAnswer& answer) { head = answer.head; },
        /*from_peer=*/true);
    this->RunUntil([&head] { return head.has_value(); });
    return head.value_or("");
  }

  std::atomic<const char*> load = kUsualLoad;
  std::atomic<int> arrivals = 0;

 private:
  int asked = 0;
  test::ScriptedServer server{[this](const std::string& head) {
    ++this->arrivals;
    return test::TargetReply(
        head, std::string(RecordMerger::kRecordBytes, 'z'),
        std::string(platform::kLoad) + ": " + this->load.load() + "\r\n");
  }};
};

double SumOfShares(const FairShare::Division& division) {
  return std::accumulate(division.limits.begin(), division.limits.end(), 0.0,
                         [](double sum, const FairShare::Limit& limit) {
                           return sum + limit.share;
                         });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_admission_test)

// Guards against bundles that are started although they are late, and against
// a refusal that reaches a target or that another host does not understand.
BOOST_FIXTURE_TEST_CASE(LateBundlesAreRefusedAndNotRun, FetcherFixture) {
  this->load = kHighLoad;
  BOOST_TEST(this->Bundle(0).starts_with("HTTP/1.1 200"));
  const int arrived = this->arrivals;
  const std::string refusal = this->Bundle(0);
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503"), refusal);
  BOOST_TEST(
      test::HeaderOf(refusal, platform::kAdmission).starts_with("refused"),
      refusal);
  BOOST_TEST(this->arrivals == arrived);
  BOOST_TEST(this->Bundle(std::nullopt).starts_with("HTTP/1.1 200"));
}

// Guards against refusals where targets do not report their speed, or where the
// settings forbid them.
BOOST_FIXTURE_TEST_CASE(RefusesOnlyWhereEnabled, FetcherFixture) {
  this->load = kHighLoad;
  this->service.SetAdmissionMode(AdmissionMode::kNever);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(this->Bundle(0).starts_with("HTTP/1.1 200"));
  }
  this->service.SetAdmissionMode(AdmissionMode::kAutomatic);
  this->load = kHighLoadWithoutSpeed;
  BOOST_TEST(this->Bundle(std::nullopt).starts_with("HTTP/1.1 200"));
  BOOST_TEST(this->Bundle(0).starts_with("HTTP/1.1 200"));
  this->service.SetAdmissionMode(AdmissionMode::kAlways);
  BOOST_TEST(this->Bundle(0).starts_with("HTTP/1.1 503"));
}

// Guards against a host that ignores the shares it was told, or that applies
// them to other kinds or accounts.
BOOST_FIXTURE_TEST_CASE(ReportedSharesDecideBeforeTheStart,
                        RelayServiceFixture) {
  RequestAdmission admission(this->context, this->targets, this->metrics);
  Route route;
  route.shards = {"s"};
  route.latency_objective = kKind.objective;
  route.top_records = kKind.records;
  RelayJob job;
  job.route = &route;
  job.priority = kKind.priority;
  job.deadline = this->clock.Now() + milliseconds(900);
  const WorkEstimate work;
  const auto refusal = [&] {
    return admission.FindRefusal(job, work, 0, /*reaches_targets=*/false);
  };
  BOOST_TEST(!refusal());
  admission.OnReport("fetcher", std::vector<AdmissionShare>{
                                    {kKind, "", 0}, {kKind, "small", 1}});
  const auto retry_after = refusal();
  BOOST_REQUIRE(retry_after.has_value());
  BOOST_TEST(retry_after->count() > 0);
  BOOST_TEST(retry_after->count() <= 300);  // a third of the time left
  job.request.account = "small";
  BOOST_TEST(!refusal());
  job.request.account = "large";
  BOOST_TEST(refusal().has_value());
  job.priority = 0;
  BOOST_TEST(!refusal());
}

// Guards against shares that outlive the host that reported them.
BOOST_AUTO_TEST_CASE(SharesExpireInSteps) {
  AdmissionView view;
  view.OnReport("a", std::vector<AdmissionShare>{{kKind, "", 0.2}}, kStart);
  view.OnReport("b", std::vector<AdmissionShare>{{kKind, "", 0.6}}, kStart);
  BOOST_TEST(view.ShareOf(kKind, "x", kStart) == 0.2);
  BOOST_TEST(view.ShareOf(kKind, "x", kStart + milliseconds(990)) == 0.2);
  const double later = view.ShareOf(kKind, "x", kStart + milliseconds(1'600));
  BOOST_TEST(later > 0.2);
  BOOST_TEST(later < 1);
  BOOST_TEST(view.ShareOf(kKind, "x", kStart + std::chrono::seconds(4)) >= 1);
}

// Guards against accounts with little traffic that are refused before those
// with much, and against capacity that nobody gets.
BOOST_AUTO_TEST_CASE(SharesOfAccountsAreMaxMinFair) {
  FairShare shares;
  for (int i = 0; i < 12; ++i) {
    shares.OnArrival("large", 1, kStart);
  }
  for (int i = 0; i < 6; ++i) {
    shares.OnArrival("middle", 1, kStart);
  }
  for (const std::string_view small : {"a", "b"}) {
    shares.OnArrival(small, 1, kStart);
  }
  // 10 of 20 requests: 2 for the small ones, 4 for each of the others.
  const FairShare::Division division = shares.Divide(0.5, kStart);
  BOOST_REQUIRE_EQUAL(division.limits.size(), 2U);
  BOOST_TEST(division.limits[0].account == "large");
  BOOST_TEST(SumOfShares(division) == 4.0 / 12 + 4.0 / 6,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(division.others == 1);
}

// Guards against accounts whose names break the header, and numbers of another
// host that are out of range.
BOOST_FIXTURE_TEST_CASE(SharesSurviveTheHeader, RelayServiceFixture) {
  const std::vector<AdmissionShare> shares = {{kKind, "", 0.25},
                                              {kKind, "a,b/c %\r\n\xc3", 0.5}};
  const std::string line = this->codec.encode_admission(shares, false);
  BOOST_TEST(line.find("\r\n") == line.size() - 2);
  const auto decode = [this](std::string_view value) {
    BeastResponse response;
    response.set(std::string(platform::kAdmission), value);
    return this->codec.decode_reply(response);
  };
  const std::string value = test::HeaderOf("\r\n" + line, platform::kAdmission);
  BOOST_TEST((decode(value).admission == shares));
  BOOST_TEST(!decode(value).overloaded);
  const ReplyHead odd = decode("refused, 1/2, x, 1/2/3/4000/%4, 1/2/3/-1");
  BOOST_TEST(odd.overloaded);
  BOOST_REQUIRE_EQUAL(odd.admission.size(), 1U);
  BOOST_TEST(odd.admission.front().share == 1);
}

// Guards against a refused bundle whose parts this host then sends itself, and
// against a refusal that does not count as not run.
BOOST_AUTO_TEST_CASE(PartsOfARefusedBundleAreNotSent) {
  test::FanOutFixture fixture(3);
  fixture.bundled_parts = {0, 1, 2};
  fixture.Start();
  fixture.fan_out->OnBundleSent(0);
  fixture.fan_out->OnBundleReply(0, {.status = 503, .overloaded = true},
                                 test::FanOutFixture::At(2));
  BOOST_TEST(fixture.sent.empty());
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.results.front().error == ErrorKind::kOverloaded));
  BOOST_TEST((fixture.results.front().run == RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
