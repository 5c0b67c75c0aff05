#include "src/relay/relay_service.h"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

class ServiceFixture {
 public:
  ServiceFixture() {
    this->clock.Pause();
    this->service.HoldUntilConfigured(this->clock.Now() + milliseconds(100));
  }

  std::function<void()> Ask(std::optional<CallerAnswer>& answer) {
    CallerRequest request;
    request.host = "h";
    request.path = "/p/";
    request.request_id = "id";
    return this->service.Handle(
        std::move(request),
        [&answer](CallerAnswer given) { answer = std::move(given); },
        /*from_peer=*/false);
  }
  void Configure() {
    this->service.SetRoutes(std::make_shared<RouteTable>(
        1, std::vector<Route>(),
        std::map<std::string, ServiceLimits, std::less<>>(), CallerLimits()));
    this->io.poll();
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  HostTable hosts;
  TargetTable targets{this->context, {"d1", "r1"}, {}, this->hosts, {}};
  PeerTable peers{this->context, this->hosts, "own", "d1"};
  RelayMetrics metrics;
  RelayService service{this->context,
                       this->targets,
                       this->peers,
                       this->metrics,
                       {}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_service_test)

// Guards against a refusal, and a caller that comes back late, because a
// request arrived some milliseconds before the first configuration.
BOOST_AUTO_TEST_CASE(RequestsWaitForTheFirstConfiguration) {
  ServiceFixture fixture;
  std::optional<CallerAnswer> answer;
  fixture.Ask(answer);
  fixture.clock.Advance(milliseconds(60));
  fixture.service.Sweep();
  BOOST_TEST(!answer);
  fixture.Configure();
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->head.find("404") != std::string::npos);
}

// Guards against requests that are held although the store does not answer, and
// against later ones that are held as well.
BOOST_AUTO_TEST_CASE(HeldRequestsAreRefusedInTime) {
  ServiceFixture fixture;
  std::optional<CallerAnswer> answer;
  fixture.Ask(answer);
  fixture.clock.Advance(milliseconds(100));
  fixture.service.Sweep();
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->head.find("503") != std::string::npos);
  std::optional<CallerAnswer> later;
  fixture.Ask(later);
  BOOST_TEST(later.has_value());
}

// Guards against an answer to a caller that disconnected while its request was
// held.
BOOST_AUTO_TEST_CASE(CancelledRequestIsNotHandled) {
  ServiceFixture fixture;
  std::optional<CallerAnswer> answer;
  fixture.Ask(answer)();
  fixture.Configure();
  BOOST_TEST(!answer);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
