#include "util/relay_standin/store_standin.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "platform/base64.h"

namespace auburnyard::util {

namespace {

constexpr std::size_t kPageItems = 50;
// Maximum number of changes in one reply to a watch.
constexpr std::size_t kMaxWatchEvents = 500;
constexpr int kNotFound = 404;
constexpr int kConditionFailed = 412;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

HttpResponse Json(const boost::json::object& body) {
  return {.body = boost::json::serialize(body)};
}

std::uint64_t NumberAtEnd(std::string_view path) {
  return std::stoull(std::string(path.substr(path.rfind('/') + 1)));
}

}  // namespace

StoreStandin::StoreStandin(boost::asio::io_context& io) : context(io) {
  HttpServerLimits limits;
  limits.max_body_bytes = std::uint64_t{4} * 1024 * 1024;
  this->server = std::make_shared<HttpServer>(
      io, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
}

void StoreStandin::Listen(std::uint16_t port) {
  this->server->Listen("127.0.0.1", port);
}

std::string StoreStandin::address() const {
  return "127.0.0.1:" + std::to_string(this->server->port());
}

void StoreStandin::SetFault(StoreFault new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
}

void StoreStandin::SetDelay(std::chrono::milliseconds delay) {
  const std::lock_guard lock(this->mutex);
  this->answer_delay = delay;
}

std::uint64_t StoreStandin::calls(const std::string& path) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->call_counts.find(path);
  return found == this->call_counts.end() ? 0 : found->second;
}

std::size_t StoreStandin::pending_watches() const {
  const std::lock_guard lock(this->mutex);
  return this->watches.size();
}

bool StoreStandin::Has(const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  return this->items.contains(key);
}

void StoreStandin::Put(const std::string& key, std::string value) {
  const std::lock_guard lock(this->mutex);
  this->later_writes.emplace_back(key, value);
  this->Change(key, platform::EncodeBase64(value), 0);
}

void StoreStandin::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->later_writes.emplace_back(key, std::nullopt);
  this->Change(key, std::nullopt, 0);
}

void StoreStandin::SaveCopy() {
  const std::lock_guard lock(this->mutex);
  this->copy = {.items = this->items,
                .history = this->history,
                .leases = this->leases,
                .revision = this->revision,
                .next_lease = this->next_lease};
  this->later_writes.clear();
}

void StoreStandin::RestoreCopy() {
  const std::lock_guard lock(this->mutex);
  this->items = this->copy.items;
  this->history = this->copy.history;
  this->leases = this->copy.leases;
  this->revision = this->copy.revision;
  this->next_lease = this->copy.next_lease;
  ++this->epoch;
  this->NotifyWatches();
}

void StoreStandin::WriteAgain() {
  const std::lock_guard lock(this->mutex);
  for (const auto& [key, value] : this->later_writes) {
    this->Change(
        key,
        value ? std::optional(platform::EncodeBase64(*value)) : std::nullopt,
        0);
  }
}

void StoreStandin::CompactHistory() {
  const std::lock_guard lock(this->mutex);
  this->compacted_revision = ++this->revision;
  this->history.clear();
  this->NotifyWatches();
}

void StoreStandin::RevokeAllLeases() {
  const std::lock_guard lock(this->mutex);
  const std::set<std::uint64_t> ended = this->leases;
  for (const std::uint64_t lease : ended) {
    this->RevokeLease(lease);
  }
}

void StoreStandin::Change(const std::string& key,
                          std::optional<std::string> value,
                          std::uint64_t lease) {
  ++this->revision;
  this->history.push_back({key, this->revision, value});
  if (value) {
    this->items[key] = {std::move(*value), this->revision, lease};
  } else {
    this->items.erase(key);
  }
  this->NotifyWatches();
}

boost::json::object StoreStandin::EventsAfter(std::string_view prefix,
                                              std::uint64_t after) const {
  boost::json::array events;
  std::uint64_t reached = this->revision;
  for (const Event& event : this->history) {
    if (event.revision <= after || !event.key.starts_with(prefix)) {
      continue;
    }
    if (events.size() == kMaxWatchEvents) {
      reached = event.revision - 1;
      break;
    }
    boost::json::object entry = {{"key", event.key},
                                 {"revision", event.revision}};
    if (event.value) {
      entry["value"] = *event.value;
    } else {
      entry["compacted"] = true;
    }
    events.push_back(std::move(entry));
  }
  return {{"events", std::move(events)}, {"at_rev", reached}};
}

void StoreStandin::NotifyWatches() {
  std::vector<std::shared_ptr<PendingWatch>> remaining;
  for (const std::shared_ptr<PendingWatch>& watch : this->watches) {
    if (watch->after < this->compacted_revision ||
        watch->after > this->revision) {
      watch->timer->cancel();
      this->Answer(watch->respond, {.status = kGone, .body = "{}"});
      continue;
    }
    boost::json::object events = this->EventsAfter(watch->prefix, watch->after);
    const bool answers = this->fault == StoreFault::kNone ||
                         this->fault == StoreFault::kLostAnswers;
    if (!answers || events.at("events").as_array().empty()) {
      remaining.push_back(watch);
      continue;
    }
    watch->timer->cancel();
    this->Answer(watch->respond, Json(events));
  }
  this->watches = std::move(remaining);
}

void StoreStandin::Handle(const HttpRequest& request,
                          const HttpResponder& respond) {
  const std::lock_guard lock(this->mutex);
  const std::string call = request.path.substr(0, request.path.find('/', 1));
  ++this->call_counts[call];
  if (this->fault == StoreFault::kSilent) {
    this->Withhold(respond);
    return;
  }
  if (this->fault == StoreFault::kBusy) {
    this->Answer(respond, {.status = kUnavailable, .body = "{}"});
    return;
  }
  if (call == "/kv-range") {
    this->Range(request, respond);
  } else if (call == "/kv-watch") {
    this->Watch(request, respond);
  } else {
    HttpResponse response{.status = kNotFound, .body = "{}"};
    if (call == "/kv-lease") {
      response = this->Lease(request);
    } else if (call == "/kv-txn") {
      response = this->Transact(request);
    } else if (call == "/kv-keep") {
      const bool alive = this->leases.contains(NumberAtEnd(request.path));
      response = {.status = alive ? 200 : kNotFound, .body = "{}"};
    } else if (call == "/kv-lease-end") {
      response = this->RevokeLease(NumberAtEnd(request.path));
    }
    response.close = this->fault == StoreFault::kLostReplies;
    if (response.close) {
      response.status = kUnavailable;
    }
    this->Answer(respond, std::move(response));
  }
}

void StoreStandin::Answer(const HttpResponder& respond,
                          HttpResponse response) const {
  if (this->fault == StoreFault::kLostAnswers) {
    this->Withhold(respond);
    return;
  }
  if (this->epoch > 0) {
    response.headers.emplace_back("Store-Era", std::to_string(this->epoch));
  }
  if (this->answer_delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context,
                                                           this->answer_delay);
  timer->async_wait(
      [timer, respond, delayed = std::move(response)](
          boost::system::error_code) mutable { respond(std::move(delayed)); });
}

void StoreStandin::Withhold(const HttpResponder& respond) const {
  auto held = std::make_shared<boost::asio::steady_timer>(
      this->context, std::chrono::minutes(10));
  held->async_wait([held, respond](boost::system::error_code) {
    respond({.status = kUnavailable});
  });
}

void StoreStandin::Range(const HttpRequest& request,
                         const HttpResponder& respond) const {
  const std::string prefix = request.Parameter("prefix");
  const std::string after = request.Parameter("after");
  boost::json::array page;
  bool more = false;
  for (auto it = after.empty() ? this->items.lower_bound(prefix)
                               : this->items.upper_bound(after);
       it != this->items.end() && it->first.starts_with(prefix); ++it) {
    if (page.size() == kPageItems) {
      more = true;
      break;
    }
    page.push_back({{"key", it->first},
                    {"value", it->second.value},
                    {"revision", it->second.revision},
                    {"lease_id", it->second.lease}});
  }
  this->Answer(respond, Json({{"items", std::move(page)},
                              {"has_more", more},
                              {"at_rev", this->revision}}));
}

void StoreStandin::Watch(const HttpRequest& request,
                         const HttpResponder& respond) {
  auto watch = std::make_shared<PendingWatch>();
  watch->prefix = request.Parameter("prefix");
  watch->after = std::stoull(request.Parameter("after"));
  watch->respond = respond;
  watch->timer = std::make_shared<boost::asio::steady_timer>(
      this->context,
      std::chrono::milliseconds(std::stoull(request.Parameter("wait_ms"))));
  watch->timer->async_wait([this, weak = std::weak_ptr<PendingWatch>(watch)](
                               boost::system::error_code error) {
    const auto waiting = weak.lock();
    if (error || waiting == nullptr) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    if (std::erase(this->watches, waiting) != 0) {
      this->Answer(waiting->respond,
                   Json(this->EventsAfter(waiting->prefix, waiting->after)));
    }
  });
  this->watches.push_back(std::move(watch));
  this->NotifyWatches();
}

HttpResponse StoreStandin::Lease(const HttpRequest&) {
  const std::uint64_t lease = this->next_lease++;
  this->leases.insert(lease);
  return Json({{"lease_id", lease}});
}

HttpResponse StoreStandin::Transact(const HttpRequest& request) {
  const boost::json::value body = boost::json::parse(request.body);
  for (const boost::json::value& row : body.at("expected_rev").as_array()) {
    const auto item = this->items.find(std::string(row.at("key").as_string()));
    const std::uint64_t present =
        item == this->items.end() ? 0 : item->second.revision;
    if (present != row.at("revision").to_number<std::uint64_t>()) {
      return {.status = kConditionFailed, .body = R"({"items":[]})"};
    }
  }
  for (const boost::json::value& put : body.at("put_op").as_array()) {
    const auto lease = put.at("lease_id").to_number<std::uint64_t>();
    if (lease != 0 && !this->leases.contains(lease)) {
      return {.status = kNotFound, .body = "{}"};
    }
    this->Change(std::string(put.at("key").as_string()),
                 std::string(put.at("value").as_string()), lease);
  }
  for (const boost::json::value& key : body.at("remove").as_array()) {
    if (this->items.contains(std::string(key.as_string()))) {
      this->Change(std::string(key.as_string()), std::nullopt, 0);
    }
  }
  return Json({{"revision", this->revision}});
}

HttpResponse StoreStandin::RevokeLease(std::uint64_t lease) {
  if (this->leases.erase(lease) == 0) {
    return {.status = kNotFound, .body = "{}"};
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->Change(key, std::nullopt, 0);
  }
  return {.body = "{}"};
}

}  // namespace auburnyard::util
