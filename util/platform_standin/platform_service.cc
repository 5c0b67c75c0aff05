#include "util/platform_standin/platform_service.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"
#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/leases/";
constexpr std::string_view kKeepAlive = "/keepalive";
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxTtlMs = 24U * 3600 * 1000;
constexpr std::uint64_t kMaxWatchMs = 60'000;
// A lease expires at most this long after its TTL.
constexpr std::chrono::milliseconds kExpiryInterval{20};

std::uint64_t IntegerParameter(const HttpRequest& request,
                               std::string_view name) {
  const std::string text = request.Parameter(name);
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (!text.empty() && (error != std::errc() || end != last)) {
    throw Error(ErrorKind::kBadRequest,
                std::string(name) + ": expected an integer");
  }
  return value;
}

HttpResponse ReplyOfWrite(const std::string& key, const WriteResult& result) {
  if (result.lease_missing) {
    return ErrorReply(ErrorKind::kNotFound, "lease: does not exist");
  }
  return JsonReply({{"key", key}, {"version", result.version}},
                   result.ok ? 200 : 409);
}

boost::json::object ToJson(const ChangeEvent& event) {
  boost::json::object json = {{"key", event.key},
                              {"value", event.stored.value},
                              {"version", event.stored.version},
                              {"revision", event.stored.revision}};
  if (event.stored.deleted) {
    json["value"] = nullptr;
    json["version"] = 0;
  }
  return json;
}

}  // namespace

PlatformService::PlatformService(boost::asio::io_context& io_context,
                                 const Clock& service_clock)
    : context(io_context), clock(service_clock), expiry_timer(io_context) {}

void PlatformService::Handle(const HttpRequest& request,
                             const HttpResponder& respond) {
  if (request.path.starts_with(kKeyPath)) {
    respond(this->HandleKey(request));
  } else if (request.path == "/v1/watch" && request.method == "GET") {
    this->HandleWatch(request, respond);
  } else if (request.path.starts_with("/v1/leases") &&
             request.method == "POST") {
    respond(this->HandleLease(request));
  } else {
    throw Error(ErrorKind::kNotFound, request.path + ": no such resource");
  }
}

HttpResponse PlatformService::HandleKey(const HttpRequest& request) {
  const std::string key =
      DecodePercent(std::string_view(request.path).substr(kKeyPath.size()));
  if (request.method == "PUT") {
    return this->HandlePut(key, request.body);
  }
  if (request.method == "DELETE") {
    return this->HandleDelete(key, request);
  }
  if (request.method != "GET") {
    throw Error(ErrorKind::kMethodNotAllowed, request.method);
  }
  const std::lock_guard lock(this->mutex);
  const StoredValue* stored = this->store.Find(key);
  if (stored == nullptr) {
    return ErrorReply(ErrorKind::kNotFound, key + ": the key is absent");
  }
  return JsonReply(
      {{"key", key}, {"value", stored->value}, {"version", stored->version}});
}

HttpResponse PlatformService::HandlePut(const std::string& key,
                                        const std::string& body) {
  const boost::json::value document =
      detail::ParseJson(body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"value", "expect_version", "lease"});
  WriteRequest write{.key = key,
                     .value = reader.String("value"),
                     .lease = reader.String("lease", "")};
  if (reader.Has("expect_version")) {
    write.expect_version = reader.Integer("expect_version", 0, kMaxInteger);
  }
  WriteResult result;
  {
    const std::lock_guard lock(this->mutex);
    result = this->store.Put(write);
  }
  this->NotifyWatchers();
  return ReplyOfWrite(key, result);
}

HttpResponse PlatformService::HandleDelete(const std::string& key,
                                           const HttpRequest& request) {
  std::optional<std::uint64_t> expected;
  if (!request.Parameter("expect_version").empty()) {
    expected = IntegerParameter(request, "expect_version");
  } else if (!request.body.empty()) {
    const boost::json::value document =
        detail::ParseJson(request.body, ErrorKind::kBadRequest);
    const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
    expected = reader.Integer("expect_version", 0, kMaxInteger);
  }
  WriteResult result;
  {
    const std::lock_guard lock(this->mutex);
    result = this->store.Delete(key, expected);
  }
  this->NotifyWatchers();
  return ReplyOfWrite(key, result);
}

HttpResponse PlatformService::HandleLease(const HttpRequest& request) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  if (request.path == "/v1/leases") {
    const boost::json::value document =
        detail::ParseJson(request.body, ErrorKind::kBadRequest);
    const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
    const std::uint64_t ttl = reader.Integer("ttl_ms", 1, kMaxTtlMs);
    return JsonReply(
        {{"id", this->store.GrantLease(std::chrono::milliseconds(ttl), now)},
         {"ttl_ms", ttl}});
  }
  std::string_view id(request.path);
  if (!id.starts_with(kLeasePath) || !id.ends_with(kKeepAlive)) {
    throw Error(ErrorKind::kNotFound, request.path + ": no such resource");
  }
  id.remove_prefix(kLeasePath.size());
  id.remove_suffix(kKeepAlive.size());
  if (!this->store.KeepAlive(id, now)) {
    return ErrorReply(ErrorKind::kNotFound, "lease: does not exist");
  }
  return JsonReply({{"id", std::string(id)}});
}

HttpResponse PlatformService::WatchReply(const std::string& prefix,
                                         std::uint64_t after) const {
  boost::json::array events;
  for (const ChangeEvent& event : this->store.ChangesAfter(prefix, after)) {
    events.push_back(ToJson(event));
  }
  return JsonReply(
      {{"revision", this->store.revision()}, {"events", std::move(events)}});
}

void PlatformService::HandleWatch(const HttpRequest& request,
                                  const HttpResponder& respond) {
  Watcher watcher{
      .prefix = request.Parameter("prefix"),
      .after = IntegerParameter(request, "after"),
      .respond = respond,
      .timer = std::make_shared<boost::asio::steady_timer>(this->context)};
  const std::uint64_t timeout =
      std::min(IntegerParameter(request, "timeout_ms"), kMaxWatchMs);
  const std::lock_guard lock(this->mutex);
  // After a restore, the revision of the store can be lower than that of the
  // watch, which would only end by its timeout; reply at once with the lower
  // revision.
  if (!this->store.ChangesAfter(watcher.prefix, watcher.after).empty() ||
      watcher.after > this->store.revision()) {
    respond(this->WatchReply(watcher.prefix, watcher.after));
    return;
  }
  const auto entry = this->watchers.insert(this->watchers.end(), watcher);
  entry->timer->expires_after(std::chrono::milliseconds(timeout));
  entry->timer->async_wait([self = this->shared_from_this(),
                            timer = entry->timer](boost::system::error_code) {
    const std::lock_guard timer_lock(self->mutex);
    const auto expired = std::find_if(
        self->watchers.begin(), self->watchers.end(),
        [&timer](const Watcher& other) { return other.timer == timer; });
    if (expired != self->watchers.end()) {
      expired->respond(self->WatchReply(expired->prefix, expired->after));
      self->watchers.erase(expired);
    }
  });
}

void PlatformService::NotifyWatchers() {
  const std::lock_guard lock(this->mutex);
  for (auto watcher = this->watchers.begin();
       watcher != this->watchers.end();) {
    if (this->store.ChangesAfter(watcher->prefix, watcher->after).empty()) {
      ++watcher;
      continue;
    }
    watcher->respond(this->WatchReply(watcher->prefix, watcher->after));
    watcher->timer->cancel();
    watcher = this->watchers.erase(watcher);
  }
}

void PlatformService::LoadInitialKeys(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadSettings, /*comments=*/true);
  const detail::JsonReader reader(document, "", ErrorKind::kBadSettings);
  const std::lock_guard lock(this->mutex);
  for (const auto& member : reader.object()) {
    this->store.Put({.key = std::string(member.key()),
                     .value = member.value().is_string()
                                  ? std::string(member.value().get_string())
                                  : boost::json::serialize(member.value())});
  }
}

void PlatformService::Checkpoint() {
  const std::lock_guard lock(this->mutex);
  this->checkpoint = this->store;
}

void PlatformService::Restore() {
  const std::lock_guard lock(this->mutex);
  this->store = this->checkpoint;
  // A watch from a revision that the restore discarded would miss every change
  // until the store reaches that revision again.
  for (const Watcher& watcher : this->watchers) {
    watcher.respond(this->WatchReply(watcher.prefix, watcher.after));
    watcher.timer->cancel();
  }
  this->watchers.clear();
}

void PlatformService::DropWatches(bool answer) {
  const std::lock_guard lock(this->mutex);
  for (const Watcher& watcher : this->watchers) {
    if (answer) {
      watcher.respond(ErrorReply(ErrorKind::kPlatformUnavailable, "outage"));
    }
    watcher.timer->cancel();
  }
  this->watchers.clear();
}

std::uint64_t PlatformService::revision() const {
  const std::lock_guard lock(this->mutex);
  return this->store.revision();
}

std::size_t PlatformService::waiting_watches() const {
  const std::lock_guard lock(this->mutex);
  return this->watchers.size();
}

void PlatformService::Start() {
  this->ArmExpiry();
}

void PlatformService::ArmExpiry() {
  this->expiry_timer.expires_after(kExpiryInterval);
  this->expiry_timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error) {
          return;
        }
        bool changed = false;
        {
          const std::lock_guard lock(self->mutex);
          changed = self->store.ExpireLeases(self->clock.Now());
        }
        if (changed) {
          self->NotifyWatchers();
        }
        self->ArmExpiry();
      });
}

}  // namespace auburnyard::util
