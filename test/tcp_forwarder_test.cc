#include "util/tcp_forwarder/route.h"

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include "src/net/http_client.h"
#include "src/net/http_server.h"

namespace auburnyard::util {

namespace {

constexpr std::chrono::seconds kTimeout{10};

/// A server behind a route.
struct Fixture {
  Fixture()
      : guard(boost::asio::make_work_guard(context)),
        thread([this] { this->context.run(); }),
        server(std::make_shared<HttpServer>(
            context,
            HttpServerLimits(),
            [this](const HttpRequest&, const HttpResponder& respond) {
              ++this->received;
              HttpResponse reply;
              reply.body = std::string(100'000, 'x');
              respond(std::move(reply));
            })) {
    this->server->Listen("127.0.0.1", 0);
    RouteOptions options;
    options.listen = "127.0.0.1:0";
    options.server = "127.0.0.1:" + std::to_string(this->server->port());
    this->route = std::make_shared<Route>(this->context, options);
    this->route->Listen();
  }
  ~Fixture() { this->context.stop(); }

  HttpResponse Call() const {
    return CallHttp("127.0.0.1:" + std::to_string(this->route->port()), {},
                    kTimeout);
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard;
  std::jthread thread;
  std::atomic<int> received{0};
  std::shared_ptr<HttpServer> server;
  std::shared_ptr<Route> route;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(tcp_forwarder_test)

// Guards against lost or reordered bytes and against a delay that is not
// applied.
BOOST_FIXTURE_TEST_CASE(DelaysAndDeliversEverything, Fixture) {
  const Duration forward = std::chrono::milliseconds(20);
  const Duration reverse = std::chrono::milliseconds(30);
  this->route->SetDelays({forward, reverse});
  const auto begin = std::chrono::steady_clock::now();
  const HttpResponse response = this->Call();
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  BOOST_TEST(response.body == std::string(100'000, 'x'));
  // One round trip for the handshake and one for the request.
  BOOST_TEST((elapsed >= 2 * (forward + reverse)));
}

// Guards against a cut route that still forwards traffic, or that does not
// recover when the state returns to kPass.
BOOST_FIXTURE_TEST_CASE(CutRouteFailsUntilRestored, Fixture) {
  this->route->SetState(RouteState::kCut);
  BOOST_CHECK_THROW(this->Call(), Error);
  BOOST_TEST(this->received == 0);
  this->route->SetState(RouteState::kPass);
  BOOST_TEST(this->Call().status == 200);
}

// Guards against a path that is cut in one direction only and still delivers
// replies, or does not deliver requests.
BOOST_FIXTURE_TEST_CASE(DroppedRepliesArriveAfterRestoration, Fixture) {
  this->route->SetState(RouteState::kDropReplies);
  auto response =
      std::async(std::launch::async, [this] { return this->Call(); });
  BOOST_TEST((response.wait_for(std::chrono::milliseconds(100)) ==
              std::future_status::timeout));
  BOOST_TEST(this->received == 1);
  this->route->SetState(RouteState::kPass);
  BOOST_TEST(response.get().body.size() == 100'000U);
}

// Guards against a drop that loses bytes permanently: after a real outage of
// the path, TCP retransmits them.
BOOST_FIXTURE_TEST_CASE(DroppedTrafficArrivesAfterRestoration, Fixture) {
  this->route->SetState(RouteState::kDrop);
  auto response =
      std::async(std::launch::async, [this] { return this->Call(); });
  BOOST_TEST((response.wait_for(std::chrono::milliseconds(50)) ==
              std::future_status::timeout));
  BOOST_TEST(this->received == 0);
  this->route->SetState(RouteState::kPass);
  BOOST_TEST(response.get().body.size() == 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
