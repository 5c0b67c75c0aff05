#ifndef AUBURNYARD_REVIEW_STANDIN_HTTP_H_
#define AUBURNYARD_REVIEW_STANDIN_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

inline SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;

  /// First value of the header, or an empty text. Case-insensitive.
  std::string Header(std::string_view name) const;
  /// Values of all headers with the name, joined by commas.
  std::string JoinedHeader(std::string_view name) const;
  /// Second word of the first line: the target of a request or the status.
  std::string SecondWord() const;
  int Status() const;
};

/// Buffered blocking connection.
class Connection {
 public:
  explicit Connection(int socket) : fd(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to a loopback port; null if that fails.
  static std::unique_ptr<Connection> Open(std::uint16_t port);

  /// Reads one message with Content-Length. False at the end of the connection
  /// or at the time-out; `partial` tells whether some of its bytes came.
  bool Read(Message& message, SteadyTime until);
  bool Write(std::string_view bytes);
  /// True if the peer has closed or reset the connection.
  bool PeerClosed() const;
  bool partial() const { return !this->buffer.empty(); }
  bool timed_out() const { return this->expired; }
  /// Closes with a reset, without the bytes that were not sent yet.
  void Reset();
  int socket() const { return this->fd; }

  /// Bytes that a faulty server sends when the next request arrives.
  std::string late_bytes;

 private:
  int fd;
  bool expired = false;
  std::string buffer;
};

std::string EncodeResponse(int status,
                           const Headers& headers,
                           std::string_view body);

/// HTTP server on a free loopback port, one thread a connection.
class Server {
 public:
  /// Returns the encoded response; nullopt closes the connection.
  using Handler =
      std::function<std::optional<std::string>(const Message&, Connection&)>;

  explicit Server(Handler request_handler);
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return this->bound_port; }
  /// Closes the listening socket and all connections.
  void Stop();
  bool stopped() const { return this->stopping; }

 private:
  void Accept();
  void Serve(int socket);

  Handler handler;
  int listener = -1;
  std::uint16_t bound_port = 0;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::set<int> open;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

/// A port that is free now.
std::uint16_t FreePort();

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_HTTP_H_
