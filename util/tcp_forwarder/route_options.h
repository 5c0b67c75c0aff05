#ifndef AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_OPTIONS_H_
#define AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_OPTIONS_H_

#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "src/core/json_reader.h"

namespace auburnyard::util {

/// How a route handles its traffic.
enum class RouteState {
  kPass,
  kCut,          ///< resets open and newly accepted connections
  kDrop,         ///< holds data in both directions until the state changes
  kDropReplies,  ///< the same, only from the server to the client
  /// Sends the first bytes of some replies again, before the next reply.
  kRepeatReplies,
};

/// One-way delays of a route.
struct RouteDelays {
  Duration forward{};  ///< from the client to the server
  Duration reverse{};
};

struct RouteOptions {
  std::string name;
  std::string group;
  std::string listen;  ///< IP:port
  std::string server;  ///< IP:port
  RouteDelays delays;
};

/// Reads "delay_ms" (both directions), "forward_delay_ms" and
/// "reverse_delay_ms"; absent members keep their value.
RouteDelays ParseDelays(const detail::JsonReader& reader, RouteDelays delays);
RouteState ParseRouteState(std::string_view name);
/// Parses {"routes": [{"name", "group", "listen", "server", delays}]} with
/// comments. Throws Error(kBadSettings).
std::vector<RouteOptions> ParseRouteFile(std::string_view json);
/// Parses "name=...,listen=...,server=...".
RouteOptions ParseRouteOption(std::string_view text);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TCP_FORWARDER_ROUTE_OPTIONS_H_
