#include "util/common/restartable_server.h"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "src/net/http_client.h"

namespace auburnyard::util {

namespace {

constexpr std::chrono::seconds kTimeout{10};

bool IsUp(std::uint16_t port) {
  try {
    CallHttp("127.0.0.1:" + std::to_string(port), {}, kTimeout);
    return true;
  } catch (const Error&) {
    return false;
  }
}

struct Fixture {
  Fixture()
      : guard(boost::asio::make_work_guard(context)),
        thread([this] { this->context.run(); }),
        server(std::make_shared<RestartableServer>(
            context,
            HttpServerLimits(),
            [](const HttpRequest&, const HttpResponder& respond) {
              respond(HttpResponse());
            })) {
    this->server->Listen("127.0.0.1", 0);
  }
  ~Fixture() { this->context.stop(); }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard;
  std::jthread thread;
  std::shared_ptr<RestartableServer> server;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(restartable_server_test)

// Guards against a simulated crash that leaves open connections usable.
BOOST_FIXTURE_TEST_CASE(CrashResetsConnections, Fixture) {
  boost::asio::io_context client;
  const auto connection = std::make_shared<HttpConnection>(
      client, "127.0.0.1", this->server->port());
  ExchangeResult result;
  const auto exchange = [&] {
    connection->Exchange({}, kTimeout,
                         [&result](ExchangeResult done) { result = done; });
    client.restart();
    client.run();
  };
  exchange();
  BOOST_TEST(result.reusable);
  this->server->Stop();
  exchange();
  BOOST_TEST(!result.error.empty());
}

// Guards against a server that restarts at another port or not at all.
BOOST_FIXTURE_TEST_CASE(ServerRestartsAtItsPort, Fixture) {
  const std::uint16_t port = this->server->port();
  BOOST_TEST(IsUp(port));
  this->server->Stop();
  this->server->RestartAfter(Duration::zero());
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  bool up = false;
  while (!up && std::chrono::steady_clock::now() < deadline) {
    up = IsUp(port);
  }
  BOOST_TEST(up);
  BOOST_TEST(this->server->port() == port);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
