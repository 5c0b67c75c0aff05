#ifndef AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDED_CONNECTION_H_
#define AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDED_CONNECTION_H_

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "util/tcp_forwarder/pipe.h"
#include "util/tcp_forwarder/route_options.h"

namespace auburnyard::util {

/// One client connection that is forwarded to the server of a route. Runs on
/// the strand of the client's socket.
class ForwardedConnection
    : public std::enable_shared_from_this<ForwardedConnection> {
 public:
  struct Hooks {
    std::function<RouteDelays()> delays;
    std::function<bool()> is_dropping;  ///< from the client to the server
    std::function<bool()> is_dropping_replies;
    std::function<bool()> is_repeating_replies;
  };

  ForwardedConnection(boost::asio::ip::tcp::socket client,
                      boost::asio::ip::tcp::endpoint server,
                      Hooks hooks);

  void Start();
  /// Continues forwarding after the state of the route has changed.
  void Resume();
  /// Closes both sockets with a TCP reset.
  void Reset();
  bool closed() const { return this->is_closed.load(); }

 private:
  void Connect();
  void OnConnected(boost::system::error_code error);
  void OnEnd(boost::asio::ip::tcp::socket& sink);
  void Close();

  boost::asio::ip::tcp::socket client;
  boost::asio::ip::tcp::socket server;
  boost::asio::ip::tcp::endpoint endpoint;
  Hooks hooks;
  boost::asio::steady_timer timer;
  Pipe forward;
  Pipe reverse;
  bool connecting = false;
  bool connected = false;
  int ended_directions = 0;
  std::atomic<bool> is_closed{false};
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDED_CONNECTION_H_
