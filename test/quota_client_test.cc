#include "src/relay/quota_client.h"

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "platform/store_codec.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTestTimeout{10'000};  // terminates a hanging test
const ClientAccount kAccount{.name = "a", .limits = {.rate = 10, .burst = 10}};

// One quota server of a domain, and a client at another host of it.
struct QuotaFixture {
  QuotaFixture() {
    this->server =
        std::make_shared<QuotaServer>(this->context, this->hosts, this->metrics,
                                      QuotaPeer{"s1", "d"}, this->tolerance, 1);
    this->server->Listen("127.0.0.1:0");
    this->hosts.Upsert(Host("s1", this->server->port()));
    this->server->Sweep();
  }

  static HostEntry Host(const std::string& name, std::uint16_t port) {
    return {.name = name,
            .address = "127.0.0.1:1",
            .failure_domain = "d",
            .accounts_address = "127.0.0.1:" + std::to_string(port)};
  }
  std::shared_ptr<QuotaClient> MakeClient(std::vector<HostEntry> servers,
                                          std::size_t host_count) {
    return std::make_shared<QuotaClient>(
        this->context, this->metrics, "h", this->tolerance, nullptr,
        QuotaClient::Hooks{.servers = [servers] { return servers; },
                           .version = [] { return 1; },
                           .host_count = [host_count] { return host_count; }});
  }
  AccountDecision Ask(QuotaClient& client) {
    std::optional<AccountDecision> decision;
    client.Admit(kAccount, [&decision](AccountDecision made) {
      decision = std::move(made);
    });
    const TimePoint begin = this->clock.Now();
    while (!decision && this->clock.Now() < begin + kTestTimeout) {
      this->io.run_one_for(milliseconds(10));
    }
    BOOST_REQUIRE(decision.has_value());
    return *decision;
  }
  // A server that accepts connections and does not answer.
  HostEntry SilentServer() {
    return Host("silent", this->silent.local_endpoint().port());
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{io, clock, codec};
  HostTable hosts;
  RelayMetrics metrics;
  LimitTolerance tolerance{.excess = 0.1, .margin = 20};
  std::shared_ptr<QuotaServer> server;
  boost::asio::ip::tcp::acceptor silent{
      io,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

using Kind = AccountDecision::Kind;

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_client_test)

// Guards against requests that wait long for a silent quota server, and against
// asking it again for each of the next requests.
BOOST_FIXTURE_TEST_CASE(ASilentServerIsReplacedByTheNext, QuotaFixture) {
  const auto client = this->MakeClient(
      {this->SilentServer(), Host("s1", this->server->port())}, 68);
  const TimePoint begin = this->clock.Now();
  BOOST_CHECK(this->Ask(*client).kind == Kind::kAdmitted);
  const double first = ToMilliseconds(this->clock.Now() - begin);
  BOOST_CHECK(this->Ask(*client).kind == Kind::kAdmitted);
  const double second = ToMilliseconds(this->clock.Now() - begin) - first;
  BOOST_TEST_MESSAGE("first " << first << " ms, second " << second << " ms");
  BOOST_TEST(first >= 29);
  // 30 ms and the time of the exchange on a busy machine.
  BOOST_TEST(first < 60);
  BOOST_TEST(second < 29);
  client->Stop();
}

// Guards against unlimited admission, and against a refusal without the time
// after which the account has room.
BOOST_FIXTURE_TEST_CASE(AnAccountAboveItsLimitIsRefused, QuotaFixture) {
  const auto client = this->MakeClient({Host("s1", this->server->port())}, 68);
  std::size_t admitted = 0;
  AccountDecision decision;
  while (decision.kind == Kind::kAdmitted && admitted < 1'000) {
    decision = this->Ask(*client);
    admitted += decision.kind == Kind::kAdmitted ? 1 : 0;
  }
  BOOST_CHECK(decision.kind == Kind::kOverLimit);
  BOOST_TEST(admitted <= 30U);
  BOOST_TEST(decision.retry_after.count() >= 100);
  client->GiveBack(kAccount);
  client->GiveBack(kAccount);
  BOOST_CHECK(this->Ask(*client).kind == Kind::kAdmitted);
  const std::string text = this->metrics.Render();
  BOOST_TEST(
      text.find("decision=\"refused\",reason=\"limit\"") != std::string::npos,
      text);
  client->Stop();
}

// Guards against an answer "over limit", or unlimited admission, when no quota
// server is reached.
BOOST_FIXTURE_TEST_CASE(WithoutServersOnlyTheReserveIsUsed, QuotaFixture) {
  constexpr std::size_t kHosts = 5;  // two requests for each host per window
  const auto client = this->MakeClient({this->SilentServer()}, kHosts);
  std::size_t admitted = 0;
  AccountDecision decision;
  while (decision.kind == Kind::kAdmitted && admitted < 100) {
    decision = this->Ask(*client);
    admitted += decision.kind == Kind::kAdmitted ? 1 : 0;
  }
  BOOST_CHECK(decision.kind == Kind::kUnknown);
  BOOST_TEST(decision.retry_after.count() >= 100);
  // A window may have ended in between.
  BOOST_TEST(admitted >= 2U);
  BOOST_TEST(admitted <= 4U);
  client->Stop();
}

// Guards against reports that other servers cannot read, against hosts that
// answer although they are not quota servers, and against a domain that counts
// as heard after its server has stopped.
BOOST_FIXTURE_TEST_CASE(ServersExchangeTheirUsage, QuotaFixture) {
  RelayMetrics other_metrics;
  const auto other =
      std::make_shared<QuotaServer>(this->context, this->hosts, other_metrics,
                                    QuotaPeer{"s2", "e"}, this->tolerance, 2);
  other->Listen("127.0.0.1:0");
  other->Sweep();
  BOOST_TEST(!other->active());
  HostEntry entry = Host("s2", other->port());
  entry.failure_domain = "e";
  this->hosts.Upsert(entry);
  const auto run_until_silent = [&](std::string_view count, bool other_runs) {
    const std::string line = "auburnyard_relay_account_silent_domains ";
    const TimePoint begin = this->clock.Now();
    while (this->metrics.Render().find(line + std::string(count)) ==
               std::string::npos &&
           this->clock.Now() < begin + kTestTimeout) {
      this->server->Sweep();
      if (other_runs) {
        other->Sweep();
      }
      this->io.run_for(milliseconds(20));
    }
    return this->clock.Now() - begin;
  };
  run_until_silent("1", /*other_runs=*/true);  // before the first report
  BOOST_TEST(ToMilliseconds(run_until_silent("0", true)) < 1'000);
  BOOST_TEST(other->active());
  other->Stop();
  const double detected = ToMilliseconds(run_until_silent("1", false));
  BOOST_TEST(detected > 200);
  BOOST_TEST(detected < 1'000);
  this->server->Stop();
}

// Guards against hosts that do not learn the addresses of quota servers.
BOOST_AUTO_TEST_CASE(RegistrationsHaveTheAddress) {
  const StoreSchema schema = platform::MakeStoreSchema();
  const HostEntry entry = QuotaFixture::Host("s1", 7);
  const StoreChange change = schema.decode(schema.encode_host(entry));
  const auto* registered = std::get_if<HostRegistered>(&change);
  BOOST_REQUIRE(registered != nullptr);
  BOOST_CHECK(registered->entry == entry);
}

// Guards against a message that stops the server or changes levels without
// bounds.
BOOST_AUTO_TEST_CASE(UnreadableMessagesAreRejected) {
  std::string sender;
  for (const std::string_view text :
       {"", "[]", "{}",
        R"({"server":"s","epoch":0,"uptime_ms":1,"accounts":[]})",
        R"({"server":"s","epoch":1,"uptime_ms":1,"accounts":[{"name":"a",
            "total":1e300,"level":0,"version":1}]})"}) {
    BOOST_CHECK_THROW(DecodeReport(text, sender), Error);
    BOOST_CHECK_THROW(DecodeQuestion(text), Error);
    BOOST_CHECK_THROW(DecodeDecision(text), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
