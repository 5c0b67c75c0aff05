#include "src/net/http_client.h"

#include <charconv>

#include "auburnyard/error.h"

namespace auburnyard {

HostPort ParseHostPort(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  HostPort result;
  if (colon != std::string_view::npos) {
    const char* last = address.data() + address.size();
    const auto [end, error] =
        std::from_chars(address.data() + colon + 1, last, result.port);
    result.host = std::string(address.substr(0, colon));
    boost::system::error_code invalid;
    boost::asio::ip::make_address(result.host, invalid);
    if (error == std::errc() && end == last && !invalid) {
      return result;
    }
  }
  throw Error(ErrorKind::kBadRequest,
              "\"" + std::string(address) + "\": expected IP:port");
}

HttpResponse CallHttp(std::string_view address,
                      const HttpCall& call,
                      Duration timeout) {
  const HostPort endpoint = ParseHostPort(address);
  boost::asio::io_context context;
  const auto connection =
      std::make_shared<HttpConnection>(context, endpoint.host, endpoint.port);
  ExchangeResult result;
  connection->Exchange(call, timeout, [&result](ExchangeResult done) {
    result = std::move(done);
  });
  context.run();
  if (!result.error.empty()) {
    throw Error(ErrorKind::kConnection,
                std::string(address) + ": " + result.error);
  }
  return result.response;
}

}  // namespace auburnyard
