#include "src/daemon/router.h"

#include <utility>

namespace auburnyard {

namespace {

bool Matches(std::string_view route, std::string_view path) {
  return route.ends_with('/') ? path.starts_with(route) : path == route;
}

}  // namespace

void Router::Add(std::string method, std::string path, HttpHandler handler) {
  this->routes.push_back(
      {std::move(method), std::move(path), std::move(handler)});
}

void Router::Handle(HttpRequest request, const HttpResponder& respond) const {
  bool path_known = false;
  for (const Route& route : this->routes) {
    if (!Matches(route.path, request.path)) {
      continue;
    }
    if (route.method == request.method) {
      route.handler(std::move(request), respond);
      return;
    }
    path_known = true;
  }
  const ErrorKind kind =
      path_known ? ErrorKind::kMethodNotAllowed : ErrorKind::kNotFound;
  throw Error(kind, request.method + " " + request.path);
}

HttpResponse MakeRefusal(const Refusal& refusal) {
  HttpResponse response;
  response.status = StatusOf(refusal);
  response.content_type = "application/problem+json";
  response.body = SerializeRefusal(refusal);
  return response;
}

}  // namespace auburnyard
