#include "util/host_list_standin/host_list_service.h"

#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

constexpr std::uint64_t kMaxLagMs = 600'000;

}  // namespace

HostListService::HostListService(const Clock& service_clock,
                                 std::chrono::milliseconds initial_lag)
    : clock(service_clock), lag(initial_lag) {}

void HostListService::AddInitial(const detail::JsonReader& reader) {
  std::string id;
  const HostEntry entry = ParseHostEntry(reader, id);
  const std::lock_guard lock(this->mutex);
  this->table.Put(id, entry, this->clock.Now());
}

void HostListService::Handle(const HttpRequest& request,
                             const HttpResponder& respond) {
  if (request.method != "GET" || request.path != "/v1/hosts") {
    throw Error(ErrorKind::kNotFound, request.path + ": no such resource");
  }
  const std::lock_guard lock(this->mutex);
  ++this->calls;
  respond(this->outage ? ErrorReply(ErrorKind::kPlatformUnavailable, "outage")
                       : JsonReply(this->table.List(this->clock.Now())));
}

void HostListService::HandleControl(const HttpRequest& request,
                                    const HttpResponder& respond) {
  const std::string route = request.method + " " + request.path;
  if (route == "POST /v1/control") {
    const boost::json::value document =
        detail::ParseJson(request.body, ErrorKind::kBadRequest);
    const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
    reader.AllowOnly({"host", "remove", "lag_ms", "outage"});
    this->Apply(reader);
    respond(JsonReply(boost::json::object{}));
  } else if (route == "GET /v1/status") {
    const std::lock_guard lock(this->mutex);
    respond(JsonReply({{"calls", this->calls}}));
  } else {
    throw Error(ErrorKind::kNotFound, route + ": no such resource");
  }
}

void HostListService::Apply(const detail::JsonReader& reader) {
  const std::lock_guard lock(this->mutex);
  this->lag = std::chrono::milliseconds(reader.Integer(
      "lag_ms", 0, kMaxLagMs, static_cast<std::uint64_t>(this->lag.count())));
  this->outage = reader.Boolean("outage", this->outage);
  const TimePoint visible = this->clock.Now() + this->lag;
  if (reader.Has("host")) {
    std::string id;
    const HostEntry entry = ParseHostEntry(reader.Child("host"), id);
    this->table.Put(id, entry, visible);
  }
  if (reader.Has("remove")) {
    this->table.Remove(reader.String("remove"), visible);
  }
}

}  // namespace auburnyard::util
