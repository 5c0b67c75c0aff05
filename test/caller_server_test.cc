#include "src/relay/caller_server.h"

#include <future>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"

namespace auburnyard {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kTestTimeout{5};  // terminates a hanging test

// Answers each request with its path and body, requests for /later/ after a
// delay; never answers requests for /held.
class ServerFixture {
 public:
  ServerFixture() {
    CallerServer::Hooks hooks;
    hooks.limits = [] {
      CallerLimits limits;
      limits.header_bytes = 512;
      limits.body_bytes = 16;
      return limits;
    };
    hooks.handle = [this](CallerRequest request,
                          std::function<void(CallerAnswer)> respond)
        -> std::function<void()> {
      if (request.path == "/held") {
        ++this->deferred;
        return [this] { ++this->cancelled; };
      }
      this->handled.push_back(request.path);
      const CallerAnswer answer{"HTTP/1.1 200 OK\r\n",
                                request.path + "=" + request.body};
      if (!request.path.starts_with("/later/")) {
        respond(answer);
        return nullptr;
      }
      auto timer = std::make_shared<asio::steady_timer>(this->io, kDelay);
      timer->async_wait([timer, respond, answer](boost::system::error_code) {
        respond(answer);
      });
      return nullptr;
    };
    this->server = std::make_unique<CallerServer>(this->context, hooks);
    this->server->Listen({asio::ip::make_address("127.0.0.1"), 0});
    this->port = this->server->port();
    this->thread = std::jthread([this] { this->io.run(); });
  }
  ~ServerFixture() { this->io.stop(); }
  // Paths in the order in which the requests were handled.
  std::vector<std::string> Handled() {
    std::promise<std::vector<std::string>> copy;
    asio::post(this->io, [this, &copy] { copy.set_value(this->handled); });
    return copy.get_future().get();
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  asio::ip::tcp::socket Connect(asio::io_context& client) const {
    asio::ip::tcp::socket socket(client);
    socket.connect({asio::ip::make_address("127.0.0.1"), this->port});
    return socket;
  }
  // Sends the bytes and reads until the server closes the connection.
  std::string Exchange(std::string_view bytes) const {
    asio::io_context client;
    asio::ip::tcp::socket socket = this->Connect(client);
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
  }

  std::atomic<int> deferred{0};
  std::atomic<int> cancelled{0};
  asio::io_context io;
  std::unique_ptr<CallerServer> server;

 private:
  static constexpr std::chrono::milliseconds kDelay{20};

  std::vector<std::string> handled;
  Clock clock;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  std::uint16_t port = 0;
  std::jthread thread;
};

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

constexpr std::string_view kLast =
    "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_server_test)

// Guards against pipelined requests being lost or answered out of order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  const ServerFixture fixture;
  const std::string received = fixture.Exchange(
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
      "xyz" +
      std::string(kLast));
  const std::size_t first = received.find("/a=");
  const std::size_t second = received.find("/b=xyz");
  const std::size_t third = received.find("/last=");
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
  BOOST_TEST(third != std::string::npos);
}

// Guards against a request that runs twice, and an answer that belongs to
// another request, after pipelined ones on the same connection.
BOOST_AUTO_TEST_CASE(RequestsAfterPipelinedOnesAreHandledOnce) {
  constexpr int kRounds = 3;
  ServerFixture fixture;
  asio::io_context client;
  boost::beast::tcp_stream stream(fixture.Connect(client));
  boost::beast::flat_buffer buffer;
  std::vector<std::string> asked;
  const auto send = [&](const std::vector<std::string>& paths) {
    std::string bytes;
    for (const std::string& path : paths) {
      bytes += Get(path);
      asked.push_back(path);
    }
    asio::write(stream.socket(), asio::buffer(bytes));
  };
  const auto read_answer = [&] {
    http::response_parser<http::string_body> answer;
    stream.expires_after(kTestTimeout);
    http::async_read(stream, buffer, answer,
                     [](boost::beast::error_code, std::size_t) {});
    client.restart();
    client.run();
    return answer.get().body();
  };
  for (int round = 0; round < kRounds; ++round) {
    const std::string prefix = "/later/" + std::to_string(round);
    send({prefix + "first", prefix + "second"});
    BOOST_TEST(read_answer() == prefix + "first=");
    BOOST_TEST(read_answer() == prefix + "second=");
    send({prefix + "third"});
    BOOST_TEST(read_answer() == prefix + "third=");
  }
  BOOST_TEST(fixture.Handled() == asked, boost::test_tools::per_element());
}

// Guards against chunked bodies being forwarded with their chunk framing.
BOOST_AUTO_TEST_CASE(ChunkedBodyIsDecoded) {
  const ServerFixture fixture;
  const std::string received = fixture.Exchange(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" +
      std::string(kLast));
  BOOST_TEST(received.find("/c=abc") != std::string::npos);
}

// Guards against input beyond the limits; the status names the exceeded limit.
BOOST_AUTO_TEST_CASE(LimitsAreEnforced) {
  const ServerFixture fixture;
  BOOST_TEST(fixture
                 .Exchange("GET /" + std::string(600, 'x') +
                           " HTTP/1.1\r\nHost: h\r\n\r\n")
                 .starts_with("HTTP/1.1 431"));
  BOOST_TEST(fixture
                 .Exchange("POST /b HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 17\r\n\r\n")
                 .starts_with("HTTP/1.1 413"));
  BOOST_TEST(
      fixture.Exchange("no request\r\n\r\n").starts_with("HTTP/1.1 400"));
}

// Guards against request smuggling with conflicting lengths.
BOOST_AUTO_TEST_CASE(ConflictingLengthsAreRefused) {
  const ServerFixture fixture;
  const std::string received = fixture.Exchange(
      "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(received.starts_with("HTTP/1.1 400"));
}

// Guards against work that continues after the caller has disconnected.
BOOST_AUTO_TEST_CASE(DisconnectCancelsTheRequest) {
  const ServerFixture fixture;
  {
    asio::io_context client;
    asio::ip::tcp::socket socket = fixture.Connect(client);
    asio::write(socket,
                asio::buffer(std::string("GET /held HTTP/1.1\r\nHost: h\r\n"
                                         "\r\n")));
    while (fixture.deferred == 0) {
      std::this_thread::yield();
    }
  }
  for (int i = 0; i < 2'000 && fixture.cancelled == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  BOOST_TEST(fixture.cancelled == 1);
}

// Guards against a missing 100 Continue, for which the caller waits before it
// sends its body.
BOOST_AUTO_TEST_CASE(ExpectationIsAnswered) {
  const ServerFixture fixture;
  asio::io_context client;
  asio::ip::tcp::socket socket = fixture.Connect(client);
  asio::write(socket,
              asio::buffer(std::string(
                  "POST /e HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")));
  std::string received;
  asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
  BOOST_TEST(received.starts_with("HTTP/1.1 100"));
  asio::write(socket, asio::buffer(std::string("ok")));
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(received), error);
  BOOST_TEST(received.find("/e=ok") != std::string::npos);
}

// Guards against a shutdown that closes a connection without announcing it by
// "Connection: close".
BOOST_AUTO_TEST_CASE(DrainingServerClosesAfterItsResponse) {
  ServerFixture fixture;
  asio::post(fixture.io, [&fixture] { fixture.server->CloseAfterResponses(); });
  const std::string received =
      fixture.Exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(received.find("Connection: close") != std::string::npos);
  BOOST_TEST(received.find("/a=") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
