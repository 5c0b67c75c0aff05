#include "util/tcp_forwarder/route.h"

#include <utility>

#include <boost/asio/strand.hpp>

#include "src/net/http_client.h"

namespace auburnyard::util {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

tcp::endpoint ToEndpoint(const std::string& address) {
  const HostPort parsed = ParseHostPort(address);
  return {asio::ip::make_address(parsed.host), parsed.port};
}

std::string_view ToString(RouteState state) {
  switch (state) {
    case RouteState::kCut:
      return "cut";
    case RouteState::kDrop:
      return "drop";
    case RouteState::kDropReplies:
      return "drop_replies";
    case RouteState::kRepeatReplies:
      return "repeat_replies";
    case RouteState::kPass:
      break;
  }
  return "pass";
}

}  // namespace

Route::Route(asio::io_context& io_context, RouteOptions options)
    : context(io_context),
      route_options(std::move(options)),
      acceptor(asio::make_strand(io_context)) {}

void Route::Listen() {
  try {
    const tcp::endpoint endpoint = ToEndpoint(this->route_options.listen);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->bound_port = this->acceptor.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::kConnection, "cannot listen on " +
                                            this->route_options.listen + ": " +
                                            error.code().message());
  }
  this->Accept();
}

void Route::Accept() {
  this->acceptor.async_accept(
      asio::make_strand(this->context),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          self->OnAccepted(std::move(socket));
        }
        self->Accept();
      });
}

void Route::OnAccepted(tcp::socket socket) {
  const auto connection = std::make_shared<ForwardedConnection>(
      std::move(socket), ToEndpoint(this->route_options.server),
      ForwardedConnection::Hooks{
          .delays =
              [weak = this->weak_from_this()] {
                const auto route = weak.lock();
                return route ? route->delays() : RouteDelays();
              },
          .is_dropping =
              [weak = this->weak_from_this()] {
                const auto route = weak.lock();
                return route && route->state() == RouteState::kDrop;
              },
          .is_dropping_replies =
              [weak = this->weak_from_this()] {
                const auto route = weak.lock();
                return route && (route->state() == RouteState::kDrop ||
                                 route->state() == RouteState::kDropReplies);
              },
          .is_repeating_replies =
              [weak = this->weak_from_this()] {
                const auto route = weak.lock();
                return route && route->state() == RouteState::kRepeatReplies;
              }});
  bool cut = false;
  {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->connections,
                  [](const auto& other) { return other->closed(); });
    this->connections.push_back(connection);
    cut = this->route_state == RouteState::kCut;
  }
  // The connection calls delays(), which locks the mutex, so the lock is
  // released first.
  if (cut) {
    connection->Reset();
  } else {
    connection->Start();
  }
}

void Route::SetDelays(RouteDelays delays) {
  const std::lock_guard lock(this->mutex);
  this->route_options.delays = delays;
}

void Route::SetState(RouteState state) {
  {
    const std::lock_guard lock(this->mutex);
    this->route_state = state;
  }
  for (const auto& connection : this->Connections()) {
    if (state == RouteState::kCut) {
      connection->Reset();
    } else {
      connection->Resume();
    }
  }
}

RouteDelays Route::delays() const {
  const std::lock_guard lock(this->mutex);
  return this->route_options.delays;
}

RouteState Route::state() const {
  const std::lock_guard lock(this->mutex);
  return this->route_state;
}

std::vector<std::shared_ptr<ForwardedConnection>> Route::Connections() {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->connections,
                [](const auto& other) { return other->closed(); });
  return this->connections;
}

boost::json::object Route::ToJson() {
  const std::size_t open = this->Connections().size();
  const RouteDelays current = this->delays();
  return {{"name", this->route_options.name},
          {"group", this->route_options.group},
          {"listen", this->route_options.listen},
          {"server", this->route_options.server},
          {"state", ToString(this->state())},
          {"forward_delay_ms", ToMilliseconds(current.forward)},
          {"reverse_delay_ms", ToMilliseconds(current.reverse)},
          {"connections", open}};
}

}  // namespace auburnyard::util
