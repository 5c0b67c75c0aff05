#ifndef AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDER_CONTROL_H_
#define AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDER_CONTROL_H_

#include <memory>
#include <vector>

#include "src/net/http_server.h"
#include "util/tcp_forwarder/route.h"

namespace auburnyard::util {

/// HTTP control interface of tcp-forwarder:
///   GET  /v1/routes   state and open connections of each route
///   POST /v1/control  {"routes": [names], "groups": [names],
///                     "state": "pass" | "cut" | "drop" | "drop_replies" |
///                              "repeat_replies",
///                     "delay_ms", "forward_delay_ms", "reverse_delay_ms"};
///                     without "routes" and "groups" it applies to all routes
class ForwarderControl {
 public:
  explicit ForwarderControl(std::vector<std::shared_ptr<Route>> routes);

  void Handle(const HttpRequest& request, const HttpResponder& respond) const;

 private:
  HttpResponse Apply(const HttpRequest& request) const;

  std::vector<std::shared_ptr<Route>> routes;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TCP_FORWARDER_FORWARDER_CONTROL_H_
