#ifndef AUBURNYARD_TEST_SCRIPTED_SERVER_H_
#define AUBURNYARD_TEST_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace auburnyard::test {

/// Reply of a scripted server to one request, and what follows it.
struct ScriptedReply {
  enum class Then { kKeep, kClose, kReset, kRepeat };
  std::string bytes;
  Then then = Then::kKeep;
  std::string repeated;  ///< kRepeat: sent until the other side closes
};

/// A server on a loopback port that answers each request head with the bytes
/// chosen by the test. Uses one thread per connection.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedReply(const std::string& head)>;

  explicit ScriptedServer(Script reply) : script(std::move(reply)) {
    this->acceptor.open(boost::asio::ip::tcp::v4());
    this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    this->acceptor.listen();
    this->accepting = std::thread([this] { this->Accept(); });
  }
  ~ScriptedServer() {
    this->stopping = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (const auto& socket : this->sockets) {
      socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  int connections() const { return this->accepted.load(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    while (true) {
      auto socket = std::make_shared<Socket>(this->context);
      boost::system::error_code error;
      this->acceptor.accept(*socket, error);
      if (error || this->stopping) {
        return;
      }
      ++this->accepted;
      this->sockets.push_back(socket);
      this->threads.emplace_back([this, socket] { this->Serve(*socket); });
    }
  }

  void Serve(Socket& socket) {
    std::string buffer;
    while (true) {
      boost::system::error_code error;
      const std::size_t size = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) {
        return;
      }
      const ScriptedReply reply = this->script(buffer.substr(0, size));
      buffer.erase(0, size);
      boost::asio::write(socket, boost::asio::buffer(reply.bytes), error);
      if (reply.then == ScriptedReply::Then::kKeep) {
        continue;
      }
      while (!error && reply.then == ScriptedReply::Then::kRepeat) {
        boost::asio::write(socket, boost::asio::buffer(reply.repeated), error);
      }
      if (reply.then == ScriptedReply::Then::kReset) {
        socket.set_option(Socket::linger(true, 0), error);
        socket.close(error);
      } else {
        socket.shutdown(Socket::shutdown_both, error);
      }
      return;
    }
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor{this->context};
  Script script;
  std::atomic<bool> stopping{false};
  std::atomic<int> accepted{0};
  std::vector<std::shared_ptr<Socket>> sockets;
  std::vector<std::thread> threads;
  std::thread accepting;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_SCRIPTED_SERVER_H_
