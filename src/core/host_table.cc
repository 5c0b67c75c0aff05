#include "auburnyard/host_table.h"

#include <algorithm>
#include <set>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// Longer than a host without the store keeps working with old knowledge.
constexpr std::chrono::seconds kCountsAfterRemoval{10};

}  // namespace

void SortForSharedWork(std::vector<HostEntry>& hosts, std::string_view key) {
  std::sort(hosts.begin(), hosts.end(),
            [key](const HostEntry& left, const HostEntry& right) {
              return left.cores != right.cores
                         ? left.cores > right.cores
                         : RanksBefore(key, left.name, right.name);
            });
}

void HostTable::Upsert(const HostEntry& entry) {
  this->hosts[entry.name] = {.entry = entry};
}

void HostTable::Remove(std::string_view name, TimePoint now) {
  const auto found = this->hosts.find(name);
  if (found != this->hosts.end() && found->second.registered) {
    found->second.registered = false;
    found->second.counts_until = now + kCountsAfterRemoval;
  }
}

void HostTable::Reset(const std::vector<HostEntry>& entries, TimePoint now) {
  std::set<std::string_view> present;
  for (const HostEntry& entry : entries) {
    present.insert(entry.name);
    this->Upsert(entry);
  }
  for (auto& [name, known] : this->hosts) {
    if (!present.contains(name)) {
      this->Remove(name, now);
    }
  }
}

std::size_t HostTable::Sharing(TimePoint now) const {
  const auto count = std::count_if(
      this->hosts.begin(), this->hosts.end(), [now](const auto& host) {
        return host.second.registered || host.second.counts_until > now;
      });
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::vector<HostEntry> HostTable::Registered() const {
  std::vector<HostEntry> found;
  for (const auto& [name, known] : this->hosts) {
    if (known.registered) {
      found.push_back(known.entry);
    }
  }
  return found;
}

std::vector<std::string> HostTable::Domains() const {
  std::set<std::string> domains;
  for (const auto& [name, known] : this->hosts) {
    if (known.registered) {
      domains.insert(known.entry.failure_domain);
    }
  }
  return {domains.begin(), domains.end()};
}

std::vector<HostEntry> HostTable::InDomain(std::string_view domain) const {
  std::vector<HostEntry> found;
  for (const auto& [name, known] : this->hosts) {
    if (known.registered && known.entry.failure_domain == domain) {
      found.push_back(known.entry);
    }
  }
  return found;
}

std::size_t HostTable::Rank(std::string_view name,
                            std::string_view key,
                            TimePoint now) const {
  const std::uint64_t own = RendezvousScore(key, name);
  std::size_t rank = 0;
  for (const auto& [other, known] : this->hosts) {
    if (other != name && (known.registered || known.counts_until > now) &&
        RendezvousScore(key, other) > own) {
      ++rank;
    }
  }
  return rank;
}

}  // namespace auburnyard
