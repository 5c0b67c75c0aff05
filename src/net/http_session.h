#ifndef AUBURNYARD_SRC_NET_HTTP_SESSION_H_
#define AUBURNYARD_SRC_NET_HTTP_SESSION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "auburnyard/error.h"

#include "src/net/http_server.h"
#include "src/net/message_parser.h"

namespace auburnyard {

/// One connection of an HttpServer. Runs on the strand of its socket.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServer> server,
              boost::asio::ip::tcp::socket accepted);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();
  /// Sends an error response and closes, without reading a request.
  void Reject(ErrorKind kind, const std::string& detail);
  /// Resets the connection.
  void Abort();

 private:
  void Read();
  void StartTimer(std::chrono::milliseconds timeout);
  void StopTimer();
  void OnHeader(boost::beast::error_code error);
  void OnRead(boost::beast::error_code error);
  void OnReadError(boost::beast::error_code error);
  void Dispatch();
  void WatchPeer();
  void Send(HttpResponse response);
  void OnWritten(bool close, boost::beast::error_code error);
  void Close();

  std::shared_ptr<HttpServer> server;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::optional<RequestParser> parser;
  std::shared_ptr<DisconnectNotifier> disconnect_notifier;
  BeastResponse response;
  std::uint64_t requests = 0;
  std::uint64_t ordinal;  // of the connection at the server
  MemoryCharge charge;
  bool keep_alive = true;
  bool responded = false;
  bool timed_out = false;
  std::uint64_t timer_generation = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_SESSION_H_
