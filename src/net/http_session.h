#ifndef AUBURNYARD_SRC_NET_HTTP_SESSION_H_
#define AUBURNYARD_SRC_NET_HTTP_SESSION_H_

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include "auburnyard/error.h"

#include "src/net/http_server.h"

namespace auburnyard {

/// One connection of an HttpServer. Runs on the strand of its stream.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServer> server,
              boost::asio::ip::tcp::socket socket);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();
  /// Answers with an error and closes, without reading a request.
  void Reject(ErrorKind kind, const std::string& detail);
  /// Resets the connection.
  void Abort();

 private:
  void Read();
  void OnHeader(boost::beast::error_code error);
  void OnRead(boost::beast::error_code error);
  void OnReadError(boost::beast::error_code error);
  void Dispatch();
  void WatchPeer();
  void Send(HttpResponse response);
  void OnWritten(bool close, boost::beast::error_code error);
  void Close();

  std::shared_ptr<HttpServer> server;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  std::shared_ptr<PeerWatch> peer;
  BeastResponse response;
  std::uint64_t requests = 0;
  bool keep_alive = true;
  bool responded = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_SESSION_H_
