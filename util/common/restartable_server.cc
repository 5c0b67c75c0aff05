#include "util/common/restartable_server.h"

#include <utility>

#include "auburnyard/error.h"

namespace auburnyard::util {

namespace {

// The port is free only after the previous acceptor has been closed on its
// strand.
constexpr std::chrono::milliseconds kRetryInterval{5};

}  // namespace

RestartableServer::RestartableServer(boost::asio::io_context& io_context,
                                     HttpServerLimits server_limits,
                                     HttpHandler request_handler)
    : context(io_context),
      limits(server_limits),
      handler(std::move(request_handler)),
      timer(io_context) {}

void RestartableServer::Listen(const std::string& address, std::uint16_t port) {
  auto started =
      std::make_shared<HttpServer>(this->context, this->limits, this->handler);
  started->Listen(address, port);
  const std::lock_guard lock(this->mutex);
  this->host = address;
  this->bound_port = started->port();
  this->server = std::move(started);
}

std::uint16_t RestartableServer::port() const {
  const std::lock_guard lock(this->mutex);
  return this->bound_port;
}

void RestartableServer::Stop() {
  std::shared_ptr<HttpServer> stopped;
  {
    const std::lock_guard lock(this->mutex);
    stopped.swap(this->server);
    this->timer.cancel();
  }
  if (stopped) {
    stopped->StopAccepting();
    stopped->AbortConnections();
  }
}

void RestartableServer::RestartAfter(Duration delay) {
  const std::lock_guard lock(this->mutex);
  if (!this->server) {
    this->Retry(delay);
  }
}

void RestartableServer::Retry(Duration delay) {
  this->timer.expires_after(delay);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->TryListen()) {
          return;
        }
        const std::lock_guard lock(self->mutex);
        self->Retry(kRetryInterval);
      });
}

bool RestartableServer::TryListen() {
  const std::lock_guard lock(this->mutex);
  if (this->server) {
    return true;
  }
  auto started =
      std::make_shared<HttpServer>(this->context, this->limits, this->handler);
  try {
    started->Listen(this->host, this->bound_port);
  } catch (const Error&) {
    return false;
  }
  this->server = std::move(started);
  return true;
}

}  // namespace auburnyard::util
