#ifndef AUBURNYARD_SRC_NET_HTTP_CLIENT_H_
#define AUBURNYARD_SRC_NET_HTTP_CLIENT_H_

#include <string_view>

#include "src/net/http_connection.h"

namespace auburnyard {

/// Sends one request on a new connection and waits for the response. `address`
/// is IP:port. Throws Error(kConnection) if the exchange fails and
/// Error(kBadRequest) if the address is malformed.
HttpResponse CallHttp(std::string_view address,
                      const HttpCall& call,
                      Duration timeout);

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses IP:port. Throws Error(kBadRequest) if the address is malformed.
HostPort ParseHostPort(std::string_view address);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_CLIENT_H_
