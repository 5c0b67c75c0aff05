#include "src/net/http_server.h"

#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

namespace asio = boost::asio;

// Echo server on a free loopback port with small limits.
class EchoServer {
 public:
  EchoServer() {
    HttpServerLimits limits;
    limits.max_header_bytes = 512;
    limits.max_body_bytes = 64;
    limits.read_timeout = std::chrono::milliseconds(50);
    this->server = std::make_shared<HttpServer>(
        this->context, limits,
        [this](const HttpRequest& request, const HttpResponder& respond) {
          ++this->handled;
          respond({.body = request.body});
        });
    this->server->Listen("127.0.0.1", 0);
    this->thread = std::jthread([this] { this->context.run(); });
  }
  ~EchoServer() { this->context.stop(); }
  EchoServer(const EchoServer&) = delete;
  EchoServer& operator=(const EchoServer&) = delete;

  // Sends the bytes and reads until the server closes the connection.
  std::string Exchange(std::string_view bytes, bool shutdown = false) const {
    asio::io_context client;
    asio::ip::tcp::socket socket(client);
    socket.connect({asio::ip::make_address("127.0.0.1"), this->server->port()});
    asio::write(socket, asio::buffer(bytes));
    if (shutdown) {
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    std::string received;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
  }

  std::atomic<int> handled{0};

 private:
  asio::io_context context;
  std::shared_ptr<HttpServer> server;
  std::jthread thread;
};

std::size_t CountOccurrences(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server_test)

// Guards against pipelined requests that are lost or answered out of order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  const EchoServer server;
  const std::string reply = server.Exchange(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
  BOOST_TEST(CountOccurrences(reply, "HTTP/1.1 200") == 2U);
  BOOST_TEST(reply.find("one") < reply.find("two"));
}

struct BadInput {
  std::string_view bytes;
  bool shutdown;
  std::string_view expected;
};

// Guards against malformed, oversize, truncated or slow input that reaches the
// handler or is dropped without an error response.
BOOST_AUTO_TEST_CASE(BadInputGetsAClearErrorAndIsNotHandled) {
  const std::string long_header =
      "GET / HTTP/1.1\r\nX-Long: " + std::string(600, 'a') + "\r\n\r\n";
  const BadInput inputs[] = {
      {"NOT HTTP\r\n\r\n", false, "400"},
      {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", false, "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", false, "413"},
      {long_header, false, "431"},
      {"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort", false, "408"},
      {"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort", true, ""},
  };
  for (const BadInput& input : inputs) {
    const EchoServer server;
    const std::string reply = server.Exchange(input.bytes, input.shutdown);
    BOOST_TEST_CONTEXT("input " << input.bytes) {
      BOOST_TEST(server.handled.load() == 0);
      BOOST_TEST(reply.substr(0, input.expected.empty() ? 0 : 12) ==
                 (input.expected.empty()
                      ? ""
                      : "HTTP/1.1 " + std::string(input.expected)));
      BOOST_TEST(CountOccurrences(reply, "\"run\":\"not_run\"") ==
                 (input.expected.empty() ? 0U : 1U));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
