#ifndef AUBURNYARD_UTIL_COMMON_RESTARTABLE_SERVER_H_
#define AUBURNYARD_UTIL_COMMON_RESTARTABLE_SERVER_H_

#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/clock.h"
#include "src/net/http_server.h"

namespace auburnyard::util {

/// HTTP server that can be stopped and restarted at the same address.
class RestartableServer
    : public std::enable_shared_from_this<RestartableServer> {
 public:
  RestartableServer(boost::asio::io_context& context,
                    HttpServerLimits limits,
                    HttpHandler handler);

  /// Throws Error(kConnection).
  void Listen(const std::string& host, std::uint16_t port);
  /// Resets all connections and refuses new ones.
  void Stop();
  /// Listens again after `delay`. Does nothing if the server is listening.
  void RestartAfter(Duration delay);
  std::uint16_t port() const;

 private:
  void Retry(Duration delay);
  bool TryListen();

  boost::asio::io_context& context;
  HttpServerLimits limits;
  HttpHandler handler;
  boost::asio::steady_timer timer;
  mutable std::mutex mutex;
  std::shared_ptr<HttpServer> server;
  std::string host;
  std::uint16_t bound_port = 0;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_RESTARTABLE_SERVER_H_
