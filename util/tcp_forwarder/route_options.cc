#include "util/tcp_forwarder/route_options.h"

#include <chrono>

#include "src/net/http_client.h"
#include "util/common/named_values.h"

namespace auburnyard::util {

namespace {

constexpr double kMaxDelayMs = 600'000;

Duration ReadDelay(const detail::JsonReader& reader,
                   std::string_view name,
                   Duration fallback) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          reader.Number(name, 0, kMaxDelayMs, ToMilliseconds(fallback))));
}

RouteOptions ParseRoute(const detail::JsonReader& reader) {
  reader.AllowOnly({"name", "group", "listen", "server", "delay_ms",
                    "forward_delay_ms", "reverse_delay_ms"});
  RouteOptions route;
  route.listen = reader.String("listen");
  route.server = reader.String("server");
  route.name = reader.String("name", route.listen);
  route.group = reader.String("group", "");
  route.delays = ParseDelays(reader, {});
  ParseHostPort(route.listen);
  ParseHostPort(route.server);
  return route;
}

}  // namespace

RouteDelays ParseDelays(const detail::JsonReader& reader, RouteDelays delays) {
  delays.forward = ReadDelay(reader, "delay_ms", delays.forward);
  delays.reverse = ReadDelay(reader, "delay_ms", delays.reverse);
  delays.forward = ReadDelay(reader, "forward_delay_ms", delays.forward);
  delays.reverse = ReadDelay(reader, "reverse_delay_ms", delays.reverse);
  return delays;
}

RouteState ParseRouteState(std::string_view name) {
  if (name == "pass") {
    return RouteState::kPass;
  }
  if (name == "cut") {
    return RouteState::kCut;
  }
  if (name == "drop") {
    return RouteState::kDrop;
  }
  if (name == "drop_replies") {
    return RouteState::kDropReplies;
  }
  if (name == "repeat_replies") {
    return RouteState::kRepeatReplies;
  }
  throw Error(ErrorKind::kBadRequest,
              "state: expected \"pass\", \"cut\", \"drop\", "
              "\"drop_replies\" or \"repeat_replies\"");
}

std::vector<RouteOptions> ParseRouteFile(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadSettings, /*comments=*/true);
  const detail::JsonReader reader(document, "", ErrorKind::kBadSettings);
  reader.AllowOnly({"routes"});
  std::vector<RouteOptions> routes;
  for (const boost::json::value& route : reader.Array("routes")) {
    const std::string path = "routes[" + std::to_string(routes.size()) + "]";
    routes.push_back(
        ParseRoute(detail::JsonReader(route, path, ErrorKind::kBadSettings)));
  }
  return routes;
}

RouteOptions ParseRouteOption(std::string_view text) {
  const boost::json::value members =
      ParseNamedValues(text, {"name", "group", "listen", "server"});
  return ParseRoute(
      detail::JsonReader(members, "--route", ErrorKind::kBadSettings));
}

}  // namespace auburnyard::util
