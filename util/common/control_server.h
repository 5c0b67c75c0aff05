#ifndef AUBURNYARD_UTIL_COMMON_CONTROL_SERVER_H_
#define AUBURNYARD_UTIL_COMMON_CONTROL_SERVER_H_

#include <memory>
#include <string>

#include "src/net/http_server.h"

namespace auburnyard::util {

/// Serves the control interface of a program at IP:port and prints the address.
/// Does nothing if the address is empty. Throws Error(kConnection).
std::shared_ptr<HttpServer> ServeControl(boost::asio::io_context& context,
                                         const std::string& address,
                                         HttpHandler handler);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_CONTROL_SERVER_H_
