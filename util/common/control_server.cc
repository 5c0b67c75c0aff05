#include "util/common/control_server.h"

#include <cstdio>
#include <utility>

#include "src/net/http_client.h"

namespace auburnyard::util {

std::shared_ptr<HttpServer> ServeControl(boost::asio::io_context& context,
                                         const std::string& address,
                                         HttpHandler handler) {
  if (address.empty()) {
    return nullptr;
  }
  const HostPort listen = ParseHostPort(address);
  auto server = std::make_shared<HttpServer>(context, HttpServerLimits(),
                                             std::move(handler));
  server->Listen(listen.host, listen.port);
  std::printf("control %s:%u\n", listen.host.c_str(), server->port());
  return server;
}

}  // namespace auburnyard::util
