#include "util/platform_standin/key_value_store.h"

namespace auburnyard::util {

const StoredValue* KeyValueStore::Find(std::string_view key) const {
  const auto found = this->keys.find(key);
  return found == this->keys.end() || found->second.deleted ? nullptr
                                                            : &found->second;
}

std::uint64_t KeyValueStore::CurrentVersion(std::string_view key) const {
  const StoredValue* stored = this->Find(key);
  return stored == nullptr ? 0 : stored->version;
}

WriteResult KeyValueStore::Put(const WriteRequest& request) {
  const std::uint64_t current = this->CurrentVersion(request.key);
  if (request.expect_version && *request.expect_version != current) {
    return {.ok = false, .version = current};
  }
  if (!request.lease.empty() && !this->leases.contains(request.lease)) {
    return {.ok = false, .lease_missing = true, .version = current};
  }
  StoredValue& stored = this->keys[request.key];
  stored.value = request.value;
  stored.lease = request.lease;
  stored.deleted = false;
  stored.revision = ++this->store_revision;
  return {.ok = true, .version = ++stored.version};
}

WriteResult KeyValueStore::Delete(std::string_view key,
                                  std::optional<std::uint64_t> expect_version) {
  const std::uint64_t current = this->CurrentVersion(key);
  if (expect_version && *expect_version != current) {
    return {.ok = false, .version = current};
  }
  if (current != 0) {
    StoredValue& stored = this->keys.find(key)->second;
    stored.value.clear();
    stored.lease.clear();
    stored.deleted = true;
    stored.revision = ++this->store_revision;
  }
  return {.ok = true, .version = 0};
}

std::vector<ChangeEvent> KeyValueStore::ChangesAfter(
    std::string_view prefix,
    std::uint64_t after) const {
  std::vector<ChangeEvent> events;
  for (auto entry = this->keys.lower_bound(prefix);
       entry != this->keys.end() && entry->first.starts_with(prefix); ++entry) {
    if (entry->second.revision > after) {
      events.push_back({entry->first, entry->second});
    }
  }
  return events;
}

std::string KeyValueStore::GrantLease(Duration ttl, TimePoint now) {
  std::string id = "lease-" + std::to_string(this->next_lease++);
  this->leases.emplace(id, Lease{ttl, now + ttl});
  return id;
}

bool KeyValueStore::KeepAlive(std::string_view lease, TimePoint now) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end() || found->second.expires <= now) {
    return false;
  }
  found->second.expires = now + found->second.ttl;
  return true;
}

bool KeyValueStore::ExpireLeases(TimePoint now) {
  bool changed = false;
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    for (auto& [key, stored] : this->keys) {
      if (!stored.deleted && stored.lease == lease->first) {
        this->Delete(key, std::nullopt);
        changed = true;
      }
    }
    lease = this->leases.erase(lease);
  }
  return changed;
}

}  // namespace auburnyard::util
