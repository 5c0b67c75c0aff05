#include "util/relay_soak/doubtful_request.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/wire_names.h"
#include "src/net/http_client.h"

namespace auburnyard::util {

namespace {

namespace asio = boost::asio;

constexpr timeval kTimeout{.tv_sec = 2, .tv_usec = 0};
constexpr std::array<std::string_view, 5> kFramings = {
    "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: gzip\r\nContent-Length: 0", "Content-Length: 0, 0"};

std::string Request(const std::string& id, std::string_view framing) {
  return "POST /one/x HTTP/1.1\r\nHost: fleet.example\r\n" +
         std::string(platform::kRequestId) + ": " + id + "\r\n" +
         std::string(framing) + "\r\n\r\n";
}

}  // namespace

int SendDoubtfulRequest(const std::string& address, std::uint64_t number) {
  const std::string id = std::to_string(number);
  const HostPort parsed = ParseHostPort(address);
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(parsed.host), parsed.port}, error);
  if (error) {
    return 0;
  }
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kTimeout,
             sizeof(kTimeout));
  const std::string message =
      Request("outer-" + id, kFramings.at(number % kFramings.size())) +
      Request(std::string(kInnerRequestPrefix) + id, "Content-Length: 0");
  asio::write(socket, asio::buffer(message), error);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), error);
  constexpr std::string_view kStart = "HTTP/1.1 ";
  int status = 0;
  if (received.starts_with(kStart)) {
    std::from_chars(received.data() + kStart.size(),
                    received.data() + received.size(), status);
  }
  return status;
}

}  // namespace auburnyard::util
