#include "review/standin/store.h"

#include <algorithm>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t kPageItems = 500;
constexpr Milliseconds kLeaseCheck{100};

std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    if (pair.starts_with(name + "=")) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(
              std::strtoul(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    at = end;
  }
  return {};
}

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string Json(int status, const json::object& body) {
  return EncodeResponse(status, {{"Content-Type", "application/json"}},
                        json::serialize(body));
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= size ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

Store::Store()
    : server([this](const Message& request, Connection&) {
        return std::optional(this->Handle(request));
      }) {}

void Store::Put(const std::string& key, std::string value) {
  const std::lock_guard lock(this->mutex);
  const std::string text = EncodeBase64(value);
  this->Change(key, &text, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  if (this->items.contains(key)) {
    this->Change(key, nullptr, 0);
  }
}

std::size_t Store::Count(const std::string& prefix) {
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->items.begin(), this->items.end(),
      [&](const auto& entry) { return entry.first.starts_with(prefix); }));
}

void Store::Change(const std::string& key,
                   const std::string* value,
                   std::uint64_t lease) {
  Event event;
  event.key = key;
  event.removed = value == nullptr;
  event.item.revision = ++this->revision;
  if (value == nullptr) {
    this->items.erase(key);
  } else {
    const auto found = this->items.find(key);
    event.item.value = *value;
    event.item.created =
        found == this->items.end() ? this->revision : found->second.created;
    event.item.lease = lease;
    this->items[key] = event.item;
  }
  this->history.push_back(std::move(event));
  this->changed.notify_all();
}

void Store::DropLease(std::uint64_t lease) {
  this->leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->Change(key, nullptr, 0);
  }
}

void Store::ExpireLeases() {
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, entry] : this->leases) {
    if (entry.end <= Now()) {
      ended.push_back(lease);
    }
  }
  for (const std::uint64_t lease : ended) {
    this->DropLease(lease);
  }
}

std::string Store::Handle(const Message& request) {
  const std::string target = request.SecondWord();
  const std::string path = target.substr(0, target.find('?'));
  const std::uint64_t last = Number(path.substr(path.rfind('/') + 1));
  if (path == "/kv-watch") {
    return this->Watch(Parameter(target, "prefix"),
                       Number(Parameter(target, "after")),
                       Milliseconds(Number(Parameter(target, "wait_ms"))));
  }
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  if (path == "/kv-range") {
    return this->Range(Parameter(target, "prefix"), Parameter(target, "after"));
  }
  if (path == "/kv-txn") {
    return this->Transact(request.body);
  }
  if (path == "/kv-lease") {
    return this->Grant(request.body);
  }
  if (path.starts_with("/kv-keep/")) {
    return this->Renew(last);
  }
  if (path.starts_with("/kv-lease-end/")) {
    return this->End(last);
  }
  return Json(404, {});
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  json::array rows;
  bool more = false;
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (rows.size() == kPageItems) {
      more = true;
      break;
    }
    rows.push_back(json::object{{"key", key},
                                {"value", item.value},
                                {"revision", item.revision},
                                {"created_rev", item.created},
                                {"lease_id", item.lease}});
  }
  return Json(200, {{"items", std::move(rows)},
                    {"has_more", more},
                    {"at_rev", this->revision}});
}

std::string Store::EventsAfter(const std::string& prefix,
                               std::uint64_t after,
                               bool& any) const {
  json::array rows;
  std::uint64_t reached = this->revision;
  const auto first =
      std::upper_bound(this->history.begin(), this->history.end(), after,
                       [](std::uint64_t value, const Event& event) {
                         return value < event.item.revision;
                       });
  for (auto event = first; event != this->history.end(); ++event) {
    if (!event->key.starts_with(prefix)) {
      continue;
    }
    if (rows.size() == kPageItems) {
      reached = event->item.revision - 1;
      break;
    }
    json::object row{{"key", event->key}, {"revision", event->item.revision}};
    if (event->removed) {
      row["compacted"] = true;
    } else {
      row["value"] = event->item.value;
      row["created_rev"] = event->item.created;
      row["lease_id"] = event->item.lease;
    }
    rows.push_back(std::move(row));
  }
  any = !rows.empty();
  return Json(200, {{"events", std::move(rows)}, {"at_rev", reached}});
}

std::string Store::Watch(const std::string& prefix,
                         std::uint64_t after,
                         Milliseconds wait) {
  const SteadyTime until = Now() + wait;
  std::unique_lock lock(this->mutex);
  while (true) {
    this->ExpireLeases();
    bool any = false;
    std::string answer = this->EventsAfter(prefix, after, any);
    if (any || Now() >= until || this->stopping) {
      return answer;
    }
    this->changed.wait_until(lock, std::min(until, Now() + kLeaseCheck));
  }
}

std::string Store::Transact(const std::string& body) {
  const json::value call = json::parse(body);
  for (const json::value& row : call.at("expected_rev").as_array()) {
    const auto found = this->items.find(std::string(row.at("key").as_string()));
    const std::uint64_t present =
        found == this->items.end() ? 0 : found->second.revision;
    if (present != row.at("revision").to_number<std::uint64_t>()) {
      return Json(412, {{"items", json::array()}});
    }
  }
  for (const json::value& row : call.at("put_op").as_array()) {
    const auto lease = row.at("lease_id").to_number<std::uint64_t>();
    if (lease != 0 && !this->leases.contains(lease)) {
      return Json(404, {});
    }
  }
  for (const json::value& row : call.at("put_op").as_array()) {
    const std::string value(row.at("value").as_string());
    this->Change(std::string(row.at("key").as_string()), &value,
                 row.at("lease_id").to_number<std::uint64_t>());
  }
  for (const json::value& key : call.at("remove").as_array()) {
    this->Change(std::string(key.as_string()), nullptr, 0);
  }
  return Json(200, {{"revision", this->revision}});
}

std::string Store::Grant(const std::string& body) {
  const Milliseconds lifetime(
      json::parse(body).at("ttl_ms").to_number<std::int64_t>());
  const std::uint64_t lease = this->next_lease++;
  this->leases[lease] = {lifetime, Now() + lifetime};
  return Json(200, {{"lease_id", lease}, {"ttl_ms", lifetime.count()}});
}

std::string Store::Renew(std::uint64_t lease) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return Json(404, {});
  }
  found->second.end = Now() + found->second.lifetime;
  return Json(200, {{"ttl_ms", found->second.lifetime.count()}});
}

std::string Store::End(std::uint64_t lease) {
  if (!this->leases.contains(lease)) {
    return Json(404, {});
  }
  this->DropLease(lease);
  return Json(200, {});
}

}  // namespace review
