#include "util/tcp_forwarder/forwarder_control.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/core/json_reader.h"
#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

bool ListContains(const detail::JsonReader& reader,
                  std::string_view member,
                  const std::string& name) {
  if (!reader.Has(member)) {
    return false;
  }
  const boost::json::array& names = reader.Array(member);
  return std::any_of(names.begin(), names.end(),
                     [&name](const boost::json::value& listed) {
                       return listed.is_string() && listed.get_string() == name;
                     });
}

bool IsSelected(const detail::JsonReader& reader, const RouteOptions& route) {
  const bool all = !reader.Has("routes") && !reader.Has("groups");
  return all || ListContains(reader, "routes", route.name) ||
         ListContains(reader, "groups", route.group);
}

}  // namespace

ForwarderControl::ForwarderControl(std::vector<std::shared_ptr<Route>> all)
    : routes(std::move(all)) {}

void ForwarderControl::Handle(const HttpRequest& request,
                              const HttpResponder& respond) const {
  const std::string call = request.method + " " + request.path;
  if (call == "POST /v1/control") {
    respond(this->Apply(request));
    return;
  }
  if (call != "GET /v1/routes") {
    throw Error(ErrorKind::kNotFound, call + ": no such resource");
  }
  boost::json::array list;
  for (const auto& route : this->routes) {
    list.push_back(route->ToJson());
  }
  respond(JsonReply({{"routes", std::move(list)}}));
}

HttpResponse ForwarderControl::Apply(const HttpRequest& request) const {
  const boost::json::value document =
      detail::ParseJson(request.body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"routes", "groups", "state", "delay_ms", "forward_delay_ms",
                    "reverse_delay_ms"});
  std::optional<RouteState> state;
  if (reader.Has("state")) {
    state = ParseRouteState(reader.String("state"));
  }
  boost::json::array changed;
  for (const auto& route : this->routes) {
    if (!IsSelected(reader, route->options())) {
      continue;
    }
    route->SetDelays(ParseDelays(reader, route->delays()));
    if (state) {
      route->SetState(*state);
    }
    changed.emplace_back(route->options().name);
  }
  return JsonReply({{"changed", std::move(changed)}});
}

}  // namespace auburnyard::util
