#include <boost/test/unit_test.hpp>

#include "platform/documents.h"
#include "src/net/log.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::HeaderOf;

constexpr std::string_view kKey = "k-secret-1";
constexpr std::string_view kRevokedKey = "k-secret-2";

// Service with routes that need a key, except those below /open/, and a target
// that records the heads that reach it.
class AccountFixture : public test::RelayServiceFixture {
 public:
  AccountFixture() {
    this->Configure(1, {std::string(kKey), std::string(kRevokedKey)});
    this->targets.Upsert(Entry("t1", this->target.address()));
  }

  void Configure(std::uint64_t version, std::vector<std::string> keys) {
    std::vector<Route> routes;
    for (const std::string prefix : {"/p/", "/open/"}) {
      Route route;
      route.name = prefix;
      route.host = "h";
      route.prefix = prefix;
      route.idempotent = true;
      route.timeout = milliseconds(5'000);
      route.latency_objective = milliseconds(5'000);
      route.authentication_exempt = prefix == "/open/";
      route.services = {{.service = "s"}};
      routes.push_back(std::move(route));
    }
    AccountWithKeys account;
    account.account.name = "acct";
    account.account.limits = {.rate = 1, .burst = 1};
    account.keys = std::move(keys);
    this->service.SetRoutes(std::make_shared<RouteTable>(
        version, std::move(routes),
        std::map<std::string, ServiceLimits, std::less<>>(), CallerLimits(),
        std::make_shared<AccountTable>(std::vector{std::move(account)})));
  }

  // Sends what a caller with the header lines would send, and returns the head
  // and body of the answer.
  std::string AskWith(std::string_view path, std::string_view headers) {
    BeastRequest request(boost::beast::http::verb::get, std::string(path), 11);
    request.set(boost::beast::http::field::host, "h");
    request.set(std::string(platform::kRequestId), "r1");
    for (std::size_t begin = 0; begin < headers.size();) {
      const std::size_t end = headers.find('\n', begin);
      const std::string line(headers.substr(begin, end - begin));
      const std::size_t colon = line.find(':');
      request.set(line.substr(0, colon), line.substr(colon + 1));
      begin = end == std::string_view::npos ? headers.size() : end + 1;
    }
    std::optional<CallerAnswer> answer;
    this->service.Handle(
        this->codec.decode_request(std::move(request)),
        [&answer](CallerAnswer given) { answer = std::move(given); }, false);
    this->RunUntil([&answer] { return answer.has_value(); });
    return answer ? answer->head + answer->body : "";
  }
  static std::string KeyLine(std::string_view key) {
    return "X-Api-Key:" + std::string(key);
  }
  std::vector<std::string> Arrived() const {
    const std::lock_guard lock(this->mutex);
    return this->received;
  }

 private:
  mutable std::mutex mutex;
  std::vector<std::string> received;
  test::ScriptedServer target{[this](const std::string& head) {
    const std::lock_guard lock(this->mutex);
    this->received.push_back(head);
    return test::TargetReply(head, "x");
  }};
};

bool Starts(const std::string& text, std::string_view prefix) {
  return text.starts_with(prefix);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(client_account_test)

// Guards against targets that see the key, or an account that the caller chose.
BOOST_FIXTURE_TEST_CASE(TargetsGetTheAccountAndNotTheKey, AccountFixture) {
  const std::string answer = this->AskWith(
      "/p/x", KeyLine(kKey) + "\nX-Auburnyard-Tenant-Id:other\nX-Other:kept");
  BOOST_TEST(Starts(answer, "HTTP/1.1 200"), answer);
  const std::vector<std::string> heads = this->Arrived();
  BOOST_REQUIRE_EQUAL(heads.size(), 1U);
  BOOST_TEST(HeaderOf(heads[0], platform::kAccount) == "acct");
  BOOST_TEST(HeaderOf(heads[0], "X-Other") == "kept");
  BOOST_TEST(heads[0].find("other") == std::string::npos, heads[0]);
  BOOST_TEST(heads[0].find(kKey) == std::string::npos, heads[0]);
}

// Guards against requests that run without an account.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutAValidKeyAreNotRun, AccountFixture) {
  for (const std::string& headers :
       {std::string("X-Other:1"), KeyLine("wrong"), KeyLine("acct"),
        std::string("Auburnyard-Account:acct")}) {
    const std::string answer = this->AskWith("/p/x", headers);
    BOOST_TEST(Starts(answer, "HTTP/1.1 401"), headers);
    BOOST_TEST(answer.find("wrong") == std::string::npos, answer);
  }
  BOOST_TEST(this->Arrived().empty());
}

// Guards against a caller of an exempt route that is refused, or that names an
// account itself.
BOOST_FIXTURE_TEST_CASE(ExemptRoutesNeedNoKey, AccountFixture) {
  const std::string answer =
      this->AskWith("/open/x", "X-Auburnyard-Tenant-Id:acct\nX-Api-Key:any");
  BOOST_TEST(Starts(answer, "HTTP/1.1 200"), answer);
  const std::vector<std::string> heads = this->Arrived();
  BOOST_REQUIRE_EQUAL(heads.size(), 1U);
  BOOST_TEST(HeaderOf(heads[0], platform::kAccount).empty(), heads[0]);
  BOOST_TEST(HeaderOf(heads[0], platform::kApiKey).empty(), heads[0]);
}

// Guards against a revoked key that is still served, and against a refusal of
// one that another version has added.
BOOST_FIXTURE_TEST_CASE(KeysFollowTheConfiguration, AccountFixture) {
  this->Configure(2, {std::string(kKey)});
  BOOST_TEST(
      Starts(this->AskWith("/p/x", KeyLine(kRevokedKey)), "HTTP/1.1 401"));
  this->service.SetOutdatedCheck([] { return true; });
  const std::string answer = this->AskWith("/p/x", KeyLine("newer"));
  BOOST_TEST(Starts(answer, "HTTP/1.1 503"), answer);
  BOOST_TEST(!HeaderOf(answer, "Retry-After").empty());
  BOOST_TEST(Starts(this->AskWith("/p/x", KeyLine(kKey)), "HTTP/1.1 200"));
  this->service.SetRevocationCheck([] { return true; });
  BOOST_TEST(Starts(this->AskWith("/p/x", KeyLine(kKey)), "HTTP/1.1 503"));
}

// Guards against requests beyond the limit that run, and against room that is
// lost when an admitted request does not run.
BOOST_FIXTURE_TEST_CASE(LimitsDecideBeforeAnythingIsSent, AccountFixture) {
  using Kind = AccountDecision::Kind;
  AccountDecision decision{Kind::kOverLimit, milliseconds(400)};
  int returned = 0;
  this->service.SetAccountAdmission(
      {.admit =
           [&decision](const ClientAccount&,
                       const AccountAdmission::Callback& decide) {
             decide(decision);
           },
       .give_back = [&returned](const ClientAccount&) { ++returned; }});
  std::string answer = this->AskWith("/p/x", KeyLine(kKey));
  BOOST_TEST(Starts(answer, "HTTP/1.1 429"), answer);
  BOOST_TEST(HeaderOf(answer, "Retry-After") == "0.400");
  decision.kind = Kind::kUnknown;
  BOOST_TEST(Starts(this->AskWith("/p/x", KeyLine(kKey)), "HTTP/1.1 503"));
  BOOST_TEST(this->Arrived().empty());
  decision.kind = Kind::kAdmitted;
  BOOST_TEST(Starts(this->AskWith("/p/x", KeyLine(kKey)), "HTTP/1.1 200"));
  BOOST_TEST(returned == 0);
  this->targets.Remove("t1");
  BOOST_TEST(Starts(this->AskWith("/p/x", KeyLine(kKey)), "HTTP/1.1 503"));
  BOOST_TEST(returned == 1);
}

// Guards against accounts that are lost, or accepted in part, when they are
// read from the operator's document.
BOOST_AUTO_TEST_CASE(AccountsAreRead) {
  const std::string start = R"({"version": 1, "routes": [], "services": [])";
  BOOST_TEST((platform::DecodeRoutes(start + "}")->accounts() == nullptr));
  const auto table = platform::DecodeRoutes(
      start + R"(, "tenants": [{"name": "a", "api_keys": ["k1", "k2"],
        "priority": 3, "rate_per_s": 19.5, "burst": 4,
        "allowed_regions": ["r"]}, {"name": "b", "api_keys": []}]})");
  BOOST_REQUIRE(table->accounts() != nullptr);
  const ClientAccount* account = table->accounts()->FindByKey("k2");
  BOOST_REQUIRE(account != nullptr);
  BOOST_TEST((account->priority == 3U));
  BOOST_TEST((account->limits == AccountLimits{.rate = 19.5, .burst = 4}));
  BOOST_TEST((account->allowed_regions == std::vector<std::string>{"r"}));
  BOOST_TEST(!table->accounts()->FindByName("b")->limits.limited());
  for (
      const std::string wrong :
      {R"([{"name": "a", "api_keys": ["k1"], "rate_per_s": -1}])",
       R"([{"name": "a b", "api_keys": ["k1"]}])",
       R"([{"name": "a", "api_keys": ["k1"]}, {"name": "b", "api_keys": ["k1"]}])",
       R"([{"api_keys": ["k1"]}])", R"([{"name": "a", "api_keys": [1]}])",
       R"({"a": []})"}) {
    BOOST_CHECK_THROW(
        platform::DecodeRoutes(start + ", \"tenants\": " + wrong + "}"), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
