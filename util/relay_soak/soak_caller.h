#ifndef AUBURNYARD_UTIL_RELAY_SOAK_SOAK_CALLER_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_SOAK_CALLER_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "src/net/http_message.h"

namespace auburnyard::util {

/// A caller that keeps its connection until the host closes it.
class SoakCaller {
 public:
  /// Empty if the connection failed or the answer timed out.
  std::optional<BeastResponse> Get(const std::string& address,
                                   const std::string& path,
                                   const std::string& request_id,
                                   std::string_view key = "");

  bool connected() const { return this->stream.has_value(); }

 private:
  bool Connect(const std::string& address);

  boost::asio::io_context io;
  std::optional<boost::beast::tcp_stream> stream;
  std::string connected_to;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_SOAK_CALLER_H_
