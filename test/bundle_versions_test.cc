#include <optional>

#include <boost/test/unit_test.hpp>

#include "auburnyard/record_merger.h"
#include "src/relay/caller_server.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::ScriptedServer;

constexpr std::chrono::seconds kTestTimeout{20};  // terminates a hanging test
constexpr std::size_t kRecordsPerPart = 3;

std::string MakeRecords(char first) {
  std::string records;
  for (std::size_t i = 0; i < kRecordsPerPart; ++i) {
    records += std::string(RecordMerger::kRecordBytes,
                           static_cast<char>(first + static_cast<char>(i)));
  }
  return records;
}

// Answers each request with the records.
ScriptedServer::Script AnswerWith(std::string records) {
  return [records = std::move(records)](const std::string& head) {
    return test::TargetReply(head, records);
  };
}

Route FanOutRoute(std::uint32_t top_records) {
  Route route;
  route.name = "all";
  route.host = "h";
  route.prefix = "/all/";
  route.idempotent = true;
  route.timeout = milliseconds(5'000);
  route.latency_objective = milliseconds(4'000);
  route.max_attempts = 2;
  route.shards = {"a", "b"};
  route.top_records = top_records;
  return route;
}

// One entry host without processes; all hosts of a test share a thread.
class Host {
 public:
  Host(const RelayContext& relay_context, const std::string& name)
      : context(relay_context),
        targets(this->context, {name, name}, {}, this->hosts, {}),
        peers(this->context, this->hosts, name, name),
        service(this->context, this->targets, this->peers, this->metrics, {}),
        peer_server(this->context, this->ServerHooks()) {
    this->peer_server.Listen({boost::asio::ip::make_address("127.0.0.1"), 0});
  }

  void SetRoute(std::uint64_t version, Route route) {
    this->service.SetRoutes(std::make_shared<RouteTable>(
        version, std::vector<Route>{std::move(route)},
        std::map<std::string, ServiceLimits, std::less<>>(), CallerLimits()));
  }
  std::string peer_address() const {
    return "127.0.0.1:" + std::to_string(this->peer_server.port());
  }

  const RelayContext& context;
  HostTable hosts;
  TargetTable targets;
  PeerTable peers;
  RelayMetrics metrics;
  RelayService service;
  CallerServer peer_server;
  int bundles = 0;

 private:
  CallerServer::Hooks ServerHooks() {
    return {.handle =
                [this](CallerRequest request,
                       std::function<void(CallerAnswer)> respond) {
                  ++this->bundles;
                  return this->service.Handle(std::move(request),
                                              std::move(respond),
                                              /*from_peer=*/true);
                },
            .limits = [] { return CallerLimits(); }};
  }
};

// A host that requests both parts of its route from a second one, next to which
// the targets are.
class TwoHostsFixture {
 public:
  TwoHostsFixture() {
    this->requester.hosts.Upsert({.name = "near",
                                  .address = this->fetcher.peer_address(),
                                  .failure_domain = "near"});
    const std::array<std::string, 2> addresses = {this->first.address(),
                                                  this->second.address()};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      const TargetEntry entry{.id = "t" + std::to_string(i),
                              .service = i == 0 ? "a" : "b",
                              .address = addresses.at(i),
                              .failure_domain = "near"};
      this->requester.targets.Upsert(entry);
      this->fetcher.targets.Upsert(entry);
    }
    this->requester.peers.Sweep();
    BOOST_REQUIRE(this->RunUntil(
        [this] { return this->requester.peers.Choose("near") != nullptr; }));
  }

  CallerAnswer Request() {
    std::optional<CallerAnswer> answer;
    CallerRequest request;
    request.host = "h";
    request.path = "/all/x";
    request.request_id = "id";
    request.forwarded_head = "GET /all/x HTTP/1.1\r\nHost: h\r\n" +
                             std::string(platform::kRequestId) + ": id\r\n";
    this->requester.service.Handle(
        std::move(request),
        [&answer](CallerAnswer given) { answer = std::move(given); },
        /*from_peer=*/false);
    BOOST_REQUIRE(this->RunUntil([&answer] { return answer.has_value(); }));
    return *answer;
  }

  boost::asio::io_context io;
  Clock clock;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  ScriptedServer first{AnswerWith(MakeRecords('a'))};
  ScriptedServer second{AnswerWith(MakeRecords('p'))};
  Host requester{this->context, "far"};
  Host fetcher{this->context, "near"};

 private:
  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = this->clock.Now() + kTestTimeout;
    while (!done() && this->clock.Now() < limit) {
      this->io.restart();
      this->io.run_one_for(milliseconds(50));
    }
    return done();
  }
};

// All records, greatest first.
std::string AllRecords() {
  RecordMerger merger(2 * kRecordsPerPart);
  merger.Add(MakeRecords('a'));
  merger.Add(MakeRecords('p'));
  return merger.Take();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bundle_versions_test)

// Guards against a bundle that is cut to the number of records of another
// version of the route, so that the answer lacks records of parts it names.
BOOST_AUTO_TEST_CASE(BundleKeepsTheRecordLimitOfTheRequestingHost) {
  TwoHostsFixture fixture;
  fixture.requester.SetRoute(2, FanOutRoute(2 * kRecordsPerPart));
  fixture.fetcher.SetRoute(1, FanOutRoute(1));
  BOOST_TEST(fixture.Request().body == AllRecords());
  BOOST_TEST(fixture.fetcher.bundles == 1);
}

// Guards against an empty bundle if the other version sends the path to a
// single service, whose requests may run only once.
BOOST_AUTO_TEST_CASE(BundleDoesNotDependOnARouteToOneService) {
  TwoHostsFixture fixture;
  fixture.requester.SetRoute(2, FanOutRoute(2 * kRecordsPerPart));
  Route single = FanOutRoute(0);
  single.shards.clear();
  single.services = {{.service = "a"}};
  single.idempotent = false;
  fixture.fetcher.SetRoute(1, std::move(single));
  BOOST_TEST(fixture.Request().body == AllRecords());
  BOOST_TEST(fixture.fetcher.bundles == 1);
}

// Guards against a bundle that is refused, and fetched again part by part,
// because the other host does not know the route yet.
BOOST_AUTO_TEST_CASE(BundleDoesNotNeedTheRouteAtTheOtherHost) {
  TwoHostsFixture fixture;
  fixture.requester.SetRoute(2, FanOutRoute(2 * kRecordsPerPart));
  Route other = FanOutRoute(1);
  other.prefix = "/other/";
  fixture.fetcher.SetRoute(1, std::move(other));
  BOOST_TEST(fixture.Request().body == AllRecords());
  BOOST_TEST(fixture.fetcher.bundles == 1);
  BOOST_TEST(fixture.first.connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
