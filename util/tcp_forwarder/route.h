#ifndef AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_H_
#define AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_H_

#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include "util/tcp_forwarder/forwarded_connection.h"
#include "util/tcp_forwarder/route_options.h"

namespace auburnyard::util {

/// Listens on one address and forwards its connections to a server.
class Route : public std::enable_shared_from_this<Route> {
 public:
  Route(boost::asio::io_context& context, RouteOptions options);

  /// Throws Error(kConnection).
  void Listen();
  void SetDelays(RouteDelays delays);
  void SetState(RouteState state);
  RouteDelays delays() const;
  RouteState state() const;
  const RouteOptions& options() const { return this->route_options; }
  std::uint16_t port() const { return this->bound_port; }
  boost::json::object ToJson();

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  std::vector<std::shared_ptr<ForwardedConnection>> Connections();

  boost::asio::io_context& context;
  RouteOptions route_options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::uint16_t bound_port = 0;
  mutable std::mutex mutex;
  RouteState route_state = RouteState::kPass;
  /// Keeps open connections alive: one that waits for the route to leave kDrop
  /// may have no pending operation that refers to it.
  std::vector<std::shared_ptr<ForwardedConnection>> connections;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_H_
