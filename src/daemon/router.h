#ifndef AUBURNYARD_SRC_DAEMON_ROUTER_H_
#define AUBURNYARD_SRC_DAEMON_ROUTER_H_

#include <string>
#include <vector>

#include "auburnyard/query.h"
#include "src/net/http_server.h"

namespace auburnyard {

/// Maps method and path to handlers. Set up before the server starts; read-only
/// afterwards.
class Router {
 public:
  /// A path that ends in "/" matches every path below it.
  void Add(std::string method, std::string path, HttpHandler handler);
  /// Answers 404 for unknown paths and 405 for unknown methods.
  void Handle(HttpRequest request, const HttpResponder& respond) const;

 private:
  struct Route {
    std::string method;
    std::string path;
    HttpHandler handler;
  };
  std::vector<Route> routes;
};

/// Response with problem details.
HttpResponse MakeRefusal(const Refusal& refusal);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_ROUTER_H_
