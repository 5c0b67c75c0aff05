#include "util/relay_soak/soak_caller.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "platform/wire_names.h"
#include "src/net/http_client.h"

namespace auburnyard::util {

namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kCallerTimeout{1'500};
constexpr std::chrono::milliseconds kTimeout{3'000};

}  // namespace

bool SoakCaller::Connect(const std::string& address) {
  if (this->stream && this->connected_to == address) {
    return true;
  }
  const HostPort parsed = ParseHostPort(address);
  this->stream.emplace(this->io);
  this->connected_to = address;
  boost::beast::error_code error;
  this->stream->connect(
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed.host),
                                     parsed.port),
      error);
  if (error) {
    this->stream.reset();
    return false;
  }
  return true;
}

std::optional<BeastResponse> SoakCaller::Get(const std::string& address,
                                             const std::string& path,
                                             const std::string& request_id,
                                             std::string_view key) {
  if (!this->Connect(address)) {
    return std::nullopt;
  }
  BeastRequest request(http::verb::get, path, 11);
  request.set(http::field::host, "fleet.example");
  request.set(platform::kRequestId, request_id);
  request.set(platform::kDeadline, std::to_string(kCallerTimeout.count()));
  if (!key.empty()) {
    request.set(platform::kApiKey, std::string(key));
  }
  boost::beast::flat_buffer buffer;
  BeastResponse response;
  // The timeout of the stream applies to asynchronous operations only.
  boost::beast::error_code result;
  this->stream->expires_after(kTimeout);
  http::async_write(*this->stream, request,
                    [&](boost::beast::error_code write_error, std::size_t) {
                      result = write_error;
                      if (!write_error) {
                        http::async_read(
                            *this->stream, buffer, response,
                            [&](boost::beast::error_code read_error,
                                std::size_t) { result = read_error; });
                      }
                    });
  this->io.restart();
  this->io.run();
  if (result) {
    this->stream.reset();
    return std::nullopt;
  }
  if (!response.keep_alive()) {
    this->stream.reset();
  }
  return response;
}

}  // namespace auburnyard::util
