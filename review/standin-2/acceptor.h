#ifndef AUBURNYARD_REVIEW_STANDIN_2_ACCEPTOR_H_
#define AUBURNYARD_REVIEW_STANDIN_2_ACCEPTOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace review {

using Socket = boost::asio::ip::tcp::socket;
using SocketPtr = std::shared_ptr<Socket>;

/// Accepts connections on loopback and serves each one on a thread of its own.
class Acceptor {
 public:
  /// Serves one connection until it is closed.
  using Handler = std::function<void(Socket&)>;

  /// Listens at once. Port 0: any free port.
  Acceptor(std::uint16_t port, Handler handler);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  std::uint16_t port() const { return this->bound_port; }
  /// Closes the listening socket and all connections, as the end of a process
  /// does, and waits for the threads.
  void Stop();

 private:
  void Accept();

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor listener;
  Handler handler;
  std::uint16_t bound_port = 0;
  std::mutex mutex;
  bool stopped = false;
  std::vector<SocketPtr> connections;
  std::vector<std::jthread> threads;
  std::jthread accept_thread;
};

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_2_ACCEPTOR_H_
