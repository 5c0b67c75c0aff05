#include "store.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace auburnyard::review {

namespace json = boost::json;

namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int kByteBits = 8;
constexpr int kDigitBits = 6;
constexpr unsigned kDigitMask = 63;
constexpr unsigned kByteMask = 255;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 412;

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  unsigned held = 0;
  int bits = 0;
  for (const char byte : bytes) {
    held = (held << kByteBits) | static_cast<unsigned char>(byte);
    bits += kByteBits;
    while (bits >= kDigitBits) {
      bits -= kDigitBits;
      text += kDigits[(held >> bits) & kDigitMask];
    }
  }
  if (bits > 0) {
    text += kDigits[(held << (kDigitBits - bits)) & kDigitMask];
  }
  while (text.size() % 4 != 0) {
    text += '=';
  }
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes;
  unsigned held = 0;
  int bits = 0;
  for (const char digit : text) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      break;
    }
    held = (held << kDigitBits) | static_cast<unsigned>(value);
    bits += kDigitBits;
    if (bits >= kByteBits) {
      bits -= kByteBits;
      bytes += static_cast<char>((held >> bits) & kByteMask);
    }
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr,
                                             16));  // two digits
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    const std::size_t end = target.find('&', start + 1);
    const std::string pair = target.substr(
        start + 1, end == std::string::npos ? end : end - start - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = DecodePercent(pair.substr(equals + 1));
    }
    start = end;
  }
  return query;
}

}  // namespace

Store::Store()
    : acceptor(std::make_unique<Acceptor>(
          [this](Channel& channel) { this->Serve(channel); })) {}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->PutLocked(key, EncodeBase64(value), 0);
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      std::uint64_t lease) {
  ++this->revision;
  this->items[key] = {value, this->revision, lease};
  this->events.push_back({key, this->revision, value, false});
  this->changed.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (this->items.erase(key) > 0) {
    ++this->revision;
    this->events.push_back({key, this->revision, {}, true});
    this->changed.notify_all();
  }
}

void Store::Serve(Channel& channel) {
  while (const std::optional<Message> request = channel.Read()) {
    json::object answer;
    const int status =
        this->Handle(request->Word(0), request->Word(1), request->body, answer);
    const std::string body = json::serialize(answer);
    if (!channel.Write("HTTP/1.1 " + std::to_string(status) +
                       " Store\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

int Store::Handle(const std::string& method,
                  const std::string& target,
                  const std::string& body,
                  json::object& answer) {
  const std::string path = target.substr(0, target.find('?'));
  const std::string last = path.substr(path.rfind('/') + 1);
  if (path == "/kv-range") {
    this->HandleRange(ParseQuery(target), answer);
    return kStatusOk;
  }
  if (path == "/kv-watch") {
    this->HandleWatch(ParseQuery(target), answer);
    return kStatusOk;
  }
  if (path == "/kv-txn") {
    return this->HandleTransaction(body, answer);
  }
  const std::lock_guard lock(this->mutex);
  if (path == "/kv-lease") {
    this->leases.insert(++this->last_lease);
    answer["lease_id"] = this->last_lease;
    answer["ttl_ms"] = json::parse(body).as_object().at("ttl_ms");
    return kStatusOk;
  }
  if (path.starts_with("/kv-keep/")) {
    return this->leases.contains(std::stoul(last)) ? kStatusOk
                                                   : kStatusNotFound;
  }
  if (path.starts_with("/kv-lease-end/") && method == "DELETE") {
    const std::uint64_t lease = std::stoul(last);
    this->leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease) {
        ended.push_back(key);
      }
    }
    for (const std::string& key : ended) {
      this->RemoveLocked(key);
    }
    return kStatusOk;
  }
  return kStatusNotFound;
}

void Store::HandleRange(const std::map<std::string, std::string>& query,
                        json::object& answer) {
  const std::lock_guard lock(this->mutex);
  const auto prefix = query.find("prefix");
  json::array rows;
  for (const auto& [key, item] : this->items) {
    if (prefix == query.end() || key.starts_with(prefix->second)) {
      rows.push_back(json::object{{"key", key},
                                  {"value", item.value},
                                  {"revision", item.revision},
                                  {"created_rev", item.revision},
                                  {"lease_id", item.lease}});
    }
  }
  answer["items"] = std::move(rows);
  answer["has_more"] = false;
  answer["at_rev"] = this->revision;
}

void Store::HandleWatch(const std::map<std::string, std::string>& query,
                        json::object& answer) {
  const std::uint64_t after = std::stoul(query.at("after"));
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
  std::unique_lock lock(this->mutex);
  this->changed.wait_until(lock, until,
                           [this, after] { return this->revision > after; });
  json::array rows;
  for (const Event& event : this->events) {
    if (event.revision <= after) {
      continue;
    }
    json::object row = {{"key", event.key}, {"revision", event.revision}};
    if (event.removed) {
      row["compacted"] = true;
    } else {
      row["value"] = event.value;
    }
    rows.push_back(std::move(row));
  }
  answer["events"] = std::move(rows);
  answer["at_rev"] = this->revision;
}

int Store::HandleTransaction(const std::string& body, json::object& answer) {
  const std::lock_guard lock(this->mutex);
  const json::object call = json::parse(body).as_object();
  for (const json::value& value : call.at("expected_rev").as_array()) {
    const json::object& row = value.as_object();
    const auto found = this->items.find(std::string(row.at("key").as_string()));
    const std::uint64_t present =
        found == this->items.end() ? 0 : found->second.revision;
    if (present != row.at("revision").to_number<std::uint64_t>()) {
      answer["items"] = json::array();
      return kStatusConflict;
    }
  }
  for (const json::value& value : call.at("put_op").as_array()) {
    const json::object& row = value.as_object();
    const auto lease = row.at("lease_id").to_number<std::uint64_t>();
    if (lease != 0 && !this->leases.contains(lease)) {
      return kStatusNotFound;
    }
    this->PutLocked(
        std::string(row.at("key").as_string()),
        EncodeBase64(DecodeBase64(std::string(row.at("value").as_string()))),
        lease);
  }
  for (const json::value& key : call.at("remove").as_array()) {
    this->RemoveLocked(std::string(key.as_string()));
  }
  answer["revision"] = this->revision;
  return kStatusOk;
}

}  // namespace auburnyard::review
