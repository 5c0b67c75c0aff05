#include "review/standin-2/store.h"

#include <chrono>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kAnswerTime{4};
constexpr std::size_t kMaxItems = 500;
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
constexpr unsigned kNotFound = 404;
constexpr unsigned kOk = 200;

std::string EncodeBase64(std::string_view text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8U |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > text.size();
      encoded += padding ? '=' : kDigits[bits >> (18 - 6 * k) & 63U];
    }
  }
  return encoded;
}

HttpResponse Reply(unsigned status, const json::object& body) {
  HttpResponse response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  response.prepare_payload();
  return response;
}

std::string DecodePercent(std::string_view text) {
  constexpr int kBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, kBase));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::uint64_t Number(const json::value& value) {
  return value.to_number<std::uint64_t>();
}

}  // namespace

Store::Store(std::uint16_t port)
    : acceptor(std::make_unique<Acceptor>(port, [this](Socket& socket) {
        this->Serve(socket);
      })) {}

void Store::Put(const std::string& key, const json::object& value) {
  const std::lock_guard lock(this->mutex);
  this->Change(key, Item{.value = EncodeBase64(json::serialize(value))});
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  if (this->items.contains(key)) {
    this->Change(key, std::nullopt);
  }
}

void Store::SetSilent(bool is_silent) {
  const std::lock_guard lock(this->mutex);
  this->silent = is_silent;
  this->changed.notify_all();
}

void Store::Change(const std::string& key, std::optional<Item> item) {
  ++this->revision;
  if (item) {
    const auto known = this->items.find(key);
    item->revision = this->revision;
    item->created =
        known == this->items.end() ? this->revision : known->second.created;
    this->items[key] = *item;
  } else {
    this->items.erase(key);
  }
  this->history.push_back({key, this->revision, std::move(item)});
  this->changed.notify_all();
}

void Store::Serve(Socket& socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    HttpRequest request;
    boost::system::error_code error;
    http::read(socket, buffer, request, error);
    if (error) {
      return;
    }
    HttpResponse response;
    {
      std::unique_lock lock(this->mutex);
      if (!this->silent) {
        lock.unlock();
        response = this->Handle(request);
        std::this_thread::sleep_for(kAnswerTime);
        lock.lock();
      }
      if (this->silent) {
        this->changed.wait(lock, [this] { return !this->silent; });
        return;
      }
    }
    http::write(socket, response, error);
    if (error) {
      return;
    }
  }
}

HttpResponse Store::Handle(const HttpRequest& request) {
  const std::string target(request.target());
  const std::size_t question = target.find('?');
  const std::string path = target.substr(0, question);
  Parameters parameters;
  if (question != std::string::npos) {
    std::size_t at = question + 1;
    while (at < target.size()) {
      const std::size_t end = std::min(target.find('&', at), target.size());
      const std::string pair = target.substr(at, end - at);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        parameters[pair.substr(0, equals)] =
            DecodePercent(pair.substr(equals + 1));
      }
      at = end + 1;
    }
  }
  std::unique_lock lock(this->mutex);
  if (path == "/kv-range") {
    return this->Range(parameters);
  }
  if (path == "/kv-watch") {
    return this->Watch(parameters, lock);
  }
  if (path == "/kv-txn") {
    return this->Transact(request.body());
  }
  if (path == "/kv-lease") {
    const json::value body = json::parse(request.body());
    this->leases.insert(++this->last_lease);
    return Reply(
        kOk, {{"lease_id", this->last_lease}, {"ttl_ms", body.at("ttl_ms")}});
  }
  const std::size_t slash = path.rfind('/');
  const std::string call = path.substr(0, slash);
  if (call == "/kv-keep" || call == "/kv-lease-end") {
    const std::uint64_t lease = std::stoull(path.substr(slash + 1));
    if (!this->leases.contains(lease)) {
      return Reply(kNotFound, {});
    }
    return call == "/kv-keep" ? Reply(kOk, {}) : this->EndLease(lease);
  }
  return Reply(kNotFound, {});
}

json::object Store::Describe(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created_rev", item.created},
          {"lease_id", item.lease}};
}

HttpResponse Store::Range(const Parameters& parameters) const {
  const auto prefix = parameters.find("prefix");
  const auto after = parameters.find("after");
  json::array found;
  bool more = false;
  for (const auto& [key, item] : this->items) {
    const bool matches =
        (prefix == parameters.end() || key.starts_with(prefix->second)) &&
        (after == parameters.end() || key > after->second);
    if (matches && found.size() == kMaxItems) {
      more = true;
    } else if (matches) {
      found.push_back(Describe(key, item));
    }
  }
  return Reply(kOk, {{"items", std::move(found)},
                     {"has_more", more},
                     {"at_rev", this->revision}});
}

HttpResponse Store::Watch(const Parameters& parameters,
                          std::unique_lock<std::mutex>& lock) {
  const auto prefix = parameters.find("prefix");
  const std::uint64_t after = std::stoull(parameters.at("after"));
  const auto deadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoll(parameters.at("wait_ms")));
  if (after > this->revision) {
    return Reply(kGone, {});
  }
  for (;;) {
    json::array events;
    for (const Event& event : this->history) {
      if (event.revision <= after || (prefix != parameters.end() &&
                                      !event.key.starts_with(prefix->second))) {
        continue;
      }
      if (event.item) {
        events.push_back(Describe(event.key, *event.item));
      } else {
        events.push_back(json::object{{"key", event.key},
                                      {"revision", event.revision},
                                      {"compacted", true}});
      }
    }
    const bool over = std::chrono::steady_clock::now() >= deadline;
    if (!events.empty() || over || this->silent) {
      return Reply(kOk,
                   {{"events", std::move(events)}, {"at_rev", this->revision}});
    }
    this->changed.wait_until(lock, deadline);
  }
}

HttpResponse Store::Transact(const std::string& body) {
  const json::value document = json::parse(body);
  json::array states;
  bool holds = true;
  for (const json::value& expected : document.at("expected_rev").as_array()) {
    const auto found =
        this->items.find(std::string(expected.at("key").as_string()));
    const bool exists = found != this->items.end();
    holds = holds && Number(expected.at("revision")) ==
                         (exists ? found->second.revision : 0);
    if (exists) {
      states.push_back(Describe(found->first, found->second));
    }
  }
  if (!holds) {
    return Reply(kConditionFailed, {{"items", std::move(states)}});
  }
  const json::array& puts = document.at("put_op").as_array();
  for (const json::value& put : puts) {
    const std::uint64_t lease = Number(put.at("lease_id"));
    if (lease != 0 && !this->leases.contains(lease)) {
      return Reply(kNotFound, {});
    }
  }
  for (const json::value& put : puts) {
    this->Change(std::string(put.at("key").as_string()),
                 Item{.value = std::string(put.at("value").as_string()),
                      .lease = Number(put.at("lease_id"))});
  }
  for (const json::value& key : document.at("remove").as_array()) {
    const std::string name(key.as_string());
    if (this->items.contains(name)) {
      this->Change(name, std::nullopt);
    }
  }
  return Reply(kOk, {{"revision", this->revision}});
}

HttpResponse Store::EndLease(std::uint64_t lease) {
  this->leases.erase(lease);
  std::vector<std::string> ended;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    this->Change(key, std::nullopt);
  }
  return Reply(kOk, {});
}

}  // namespace review
