#include <chrono>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "src/net/http_server.h"
#include "util/fuzz_common/fuzz_inputs.h"

namespace auburnyard {

namespace {

namespace asio = boost::asio;

HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 1024;
  return limits;
}

void Handle(const HttpRequest& request, const HttpResponder& respond) {
  respond({.body = request.path + request.Parameter("a") + request.body});
}

// Runs the server until its only connection has ended. The client closes after
// its last byte, so the session needs no time-out to end.
void RunSession(asio::io_context& context, const HttpServer& server) {
  constexpr std::chrono::seconds kMaxDuration{20};
  const auto end = std::chrono::steady_clock::now() + kMaxDuration;
  while (context.run_one_until(end) > 0) {
    if (server.open_connections() == 0) {
      return;
    }
  }
  if (server.open_connections() != 0) {
    throw std::logic_error("an HTTP session did not end");
  }
}

}  // namespace

void FuzzHttp(std::string_view input) {
  asio::io_context context;
  const auto server =
      std::make_shared<HttpServer>(context, SmallLimits(), Handle);
  server->Listen("127.0.0.1", 0);
  asio::io_context client_context;
  asio::ip::tcp::socket client(client_context);
  client.connect({asio::ip::make_address("127.0.0.1"), server->port()});
  // Accepts the connection before the input arrives.
  while (server->open_connections() == 0) {
    context.run_one();
  }
  boost::system::error_code ignored;
  // Inputs are shorter than the socket's buffer, so this does not block.
  asio::write(client, asio::buffer(input.data(), input.size()), ignored);
  client.close(ignored);
  RunSession(context, *server);
  server->StopAccepting();
}

}  // namespace auburnyard
