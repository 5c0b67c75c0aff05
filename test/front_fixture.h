#ifndef AUBURNYARD_TEST_FRONT_FIXTURE_H_
#define AUBURNYARD_TEST_FRONT_FIXTURE_H_

#include <sys/socket.h>
#include <sys/time.h>

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/relay_codec.h"
#include "src/net/http_server.h"
#include "src/relay/caller_server.h"

namespace auburnyard::test {

/// Both fronts, each on a port of its own. They answer each request with an
/// empty 200 and keep what they read.
class FrontFixture {
 public:
  enum class Front { kRelay, kSettings };

  FrontFixture() {
    CallerServer::Hooks hooks;
    hooks.limits = [] { return CallerLimits(); };
    hooks.handle = [this](CallerRequest request,
                          std::function<void(CallerAnswer)> respond)
        -> std::function<void()> {
      this->handled.push_back(request.path + "=" + request.body);
      this->heads += request.forwarded_head;
      respond({"HTTP/1.1 200 OK\r\n", ""});
      return nullptr;
    };
    this->relay = std::make_unique<CallerServer>(this->context, hooks);
    this->relay->Listen({boost::asio::ip::make_address("127.0.0.1"), 0});
    this->settings = std::make_shared<HttpServer>(
        this->io, HttpServerLimits(),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          this->handled.push_back(request.path + "=" + request.body);
          for (const auto& [name, value] : request.headers) {
            this->heads.append(name).append(": ").append(value).append("\r\n");
          }
          respond({});
        });
    this->settings->Listen("127.0.0.1", 0);
    this->thread = std::jthread([this] { this->io.run(); });
  }
  ~FrontFixture() { this->io.stop(); }
  FrontFixture(const FrontFixture&) = delete;
  FrontFixture& operator=(const FrontFixture&) = delete;

  struct Result {
    std::string received;
    std::vector<std::string> handled;  ///< path and body of each request
    std::string heads;                 ///< header fields of all requests
  };

  /// Sends the bytes, then the end of the stream if `ends`, and reads until the
  /// front closes. A front that is at the end of the stream may close before it
  /// has handled all requests.
  Result Exchange(Front front, std::string_view bytes, bool ends = false) {
    boost::asio::io_context client;
    boost::asio::ip::tcp::socket socket(client);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    front == Front::kRelay ? this->relay->port()
                                           : this->settings->port()});
    constexpr timeval kTimeout{.tv_sec = 5, .tv_usec = 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kTimeout,
               sizeof(kTimeout));
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (ends) {
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
    Result result;
    boost::asio::read(socket, boost::asio::dynamic_buffer(result.received),
                      ignored);
    std::promise<void> taken;
    boost::asio::post(this->io, [this, &result, &taken] {
      result.handled = std::exchange(this->handled, {});
      result.heads = std::exchange(this->heads, {});
      taken.set_value();
    });
    taken.get_future().wait();
    return result;
  }

 private:
  boost::asio::io_context io;
  Clock clock;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  std::vector<std::string> handled;
  std::string heads;
  std::unique_ptr<CallerServer> relay;
  std::shared_ptr<HttpServer> settings;
  std::jthread thread;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_FRONT_FIXTURE_H_
