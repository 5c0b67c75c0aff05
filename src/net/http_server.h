#ifndef AUBURNYARD_SRC_NET_HTTP_SERVER_H_
#define AUBURNYARD_SRC_NET_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "auburnyard/memory_budget.h"
#include "src/net/http_message.h"

namespace auburnyard {

struct HttpServerLimits {
  std::size_t max_connections = 1024;
  std::uint32_t max_header_bytes = 8 * 1024;
  std::uint64_t max_body_bytes = 64 * 1024;
  std::chrono::milliseconds read_timeout{
      10'000};  ///< for a request after its first bytes, and for writing a
                ///< response
  std::chrono::milliseconds idle_timeout{
      60'000};                     ///< until the first bytes of a request
  MemoryBudget* memory = nullptr;  ///< for responses; null: not bounded
};

using HttpResponder = std::function<void(HttpResponse)>;
/// Handles one request. The responder may be called once, from any thread,
/// during the handler or after it.
using HttpHandler =
    std::function<void(HttpRequest request, HttpResponder respond)>;

class HttpSession;

/// HTTP/1.1 server. Requests of one connection are answered one at a time, in
/// order.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  HttpServer(boost::asio::io_context& context,
             HttpServerLimits limits,
             HttpHandler handler);

  /// Binds and starts to accept. Port 0 selects a free port. Throws
  /// Error(kConnection).
  void Listen(const std::string& host, std::uint16_t port);
  std::uint16_t port() const { return this->bound_port; }
  /// Continues to accept, but closes each connection after its next response.
  void CloseAfterResponses() { this->is_stopping = true; }
  /// Stops accepting. Open connections are closed after their current request.
  void StopAccepting();
  /// Resets all connections. Requests in progress get no response.
  void AbortConnections();
  std::size_t open_connections() const { return this->connections.load(); }
  bool stopping() const { return this->is_stopping.load(); }

 private:
  friend class HttpSession;
  void Accept();
  void Register(const std::shared_ptr<HttpSession>& session);
  void Unregister(const HttpSession* session);

  boost::asio::io_context& context;
  HttpServerLimits limits;
  HttpHandler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::uint16_t bound_port = 0;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::uint64_t> accepted_count{0};
  std::atomic<bool> is_stopping{false};
  std::mutex sessions_mutex;
  std::unordered_map<const HttpSession*, std::weak_ptr<HttpSession>> sessions;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_SERVER_H_
