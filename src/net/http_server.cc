#include "src/net/http_server.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>

#include "auburnyard/error.h"
#include "src/net/http_session.h"

namespace auburnyard {

namespace asio = boost::asio;

HttpServer::HttpServer(asio::io_context& io_context,
                       HttpServerLimits server_limits,
                       HttpHandler request_handler)
    : context(io_context),
      limits(server_limits),
      handler(std::move(request_handler)),
      acceptor(asio::make_strand(io_context)) {}

void HttpServer::Listen(const std::string& host, std::uint16_t port) {
  try {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(asio::socket_base::max_listen_connections);
    this->bound_port = this->acceptor.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::kConnection, "cannot listen on " + host + ":" +
                                            std::to_string(port) + ": " +
                                            error.code().message());
  }
  this->Accept();
}

void HttpServer::StopAccepting() {
  this->is_stopping = true;
  asio::dispatch(this->acceptor.get_executor(),
                 [self = this->shared_from_this()] {
                   boost::system::error_code ignored;
                   self->acceptor.close(ignored);
                 });
}

void HttpServer::AbortConnections() {
  std::vector<std::shared_ptr<HttpSession>> open;
  {
    const std::lock_guard lock(this->sessions_mutex);
    for (const auto& [key, session] : this->sessions) {
      open.push_back(session.lock());
    }
  }
  for (const auto& session : open) {
    if (session) {
      session->Abort();
    }
  }
}

void HttpServer::Register(const std::shared_ptr<HttpSession>& session) {
  const std::lock_guard lock(this->sessions_mutex);
  this->sessions.emplace(session.get(), session);
}

void HttpServer::Unregister(const HttpSession* session) {
  const std::lock_guard lock(this->sessions_mutex);
  this->sessions.erase(session);
}

void HttpServer::Accept() {
  this->acceptor.async_accept(
      asio::make_strand(this->context),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          const bool full =
              self->connections.load() >= self->limits.max_connections;
          auto session = std::make_shared<HttpSession>(self, std::move(socket));
          self->Register(session);
          if (full) {
            session->Reject(ErrorKind::kOverloaded,
                            "the connection limit is reached");
          } else {
            session->Start();
          }
        }
        self->Accept();
      });
}

}  // namespace auburnyard
