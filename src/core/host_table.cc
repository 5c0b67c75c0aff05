#include "auburnyard/host_table.h"

#include <algorithm>
#include <set>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// Longer than a host that is cut off from the store works with stale data.
constexpr std::chrono::seconds kRemovedHostRetention{10};

// With few fetchers, each one sends enough requests to each target to detect
// slow or paused targets and to keep its connections in use.
constexpr std::size_t kFetchersPerDomain = 2;
// In smaller domains every host connects to the targets itself: each host sends
// enough requests to each target, and the additional hop would cost more than
// it saves.
constexpr std::size_t kMinLargeDomainHosts = 5;

}  // namespace

void SortByCapacity(std::vector<HostEntry>& hosts, std::string_view key) {
  std::sort(hosts.begin(), hosts.end(),
            [key](const HostEntry& left, const HostEntry& right) {
              return left.cores != right.cores
                         ? left.cores > right.cores
                         : RanksBefore(key, left.name, right.name);
            });
}

void HostTable::Upsert(const HostEntry& entry) {
  this->hosts[entry.name] = {.entry = entry};
  this->summaries.clear();
}

void HostTable::Remove(std::string_view name, TimePoint now) {
  const auto found = this->hosts.find(name);
  if (found != this->hosts.end() && found->second.registered) {
    found->second.registered = false;
    found->second.retained_until = now + kRemovedHostRetention;
    this->summaries.clear();
  }
}

void HostTable::Reset(const std::vector<HostEntry>& entries, TimePoint now) {
  std::set<std::string_view> present;
  for (const HostEntry& entry : entries) {
    present.insert(entry.name);
    this->Upsert(entry);
  }
  for (auto& [name, tracked] : this->hosts) {
    if (!present.contains(name)) {
      this->Remove(name, now);
    }
  }
}

std::vector<HostEntry> HostTable::RegisteredHosts() const {
  std::vector<HostEntry> found;
  for (const auto& [name, tracked] : this->hosts) {
    if (tracked.registered) {
      found.push_back(tracked.entry);
    }
  }
  return found;
}

std::vector<std::string> HostTable::Domains() const {
  std::set<std::string> domains;
  for (const auto& [name, tracked] : this->hosts) {
    if (tracked.registered) {
      domains.insert(tracked.entry.failure_domain);
    }
  }
  return {domains.begin(), domains.end()};
}

std::vector<HostEntry> HostTable::HostsInDomain(std::string_view domain) const {
  std::vector<HostEntry> found;
  for (const auto& [name, tracked] : this->hosts) {
    if (tracked.registered && tracked.entry.failure_domain == domain) {
      found.push_back(tracked.entry);
    }
  }
  return found;
}

const HostTable::DomainSummary& HostTable::SummaryOf(
    std::string_view domain) const {
  const auto found = this->summaries.find(domain);
  if (found != this->summaries.end()) {
    return found->second;
  }
  DomainSummary summary;
  summary.fetchers = this->HostsInDomain(domain);
  summary.size = summary.fetchers.size();
  SortByCapacity(summary.fetchers, domain);
  summary.fetchers.resize(std::min(summary.size, kFetchersPerDomain));
  return this->summaries.emplace(std::string(domain), std::move(summary))
      .first->second;
}

const std::vector<HostEntry>& HostTable::Fetchers(
    std::string_view domain) const {
  return this->SummaryOf(domain).fetchers;
}

std::vector<HostEntry> HostTable::QuotaServers(std::string_view domain) const {
  std::vector<HostEntry> servers = this->IsLargeDomain(domain)
                                       ? this->Fetchers(domain)
                                       : this->HostsInDomain(domain);
  std::erase_if(servers, [](const HostEntry& host) {
    return host.accounts_address.empty();
  });
  return servers;
}

bool HostTable::IsLargeDomain(std::string_view domain) const {
  return this->SummaryOf(domain).size >= kMinLargeDomainHosts;
}

bool HostTable::ConnectsToTargets(std::string_view name,
                                  std::string_view domain) const {
  if (!this->IsLargeDomain(domain)) {
    return true;
  }
  const std::vector<HostEntry>& fetchers = this->Fetchers(domain);
  return std::any_of(
      fetchers.begin(), fetchers.end(),
      [name](const HostEntry& host) { return host.name == name; });
}

// Hosts whose registration was removed count as well, whether or not they were
// fetchers, because they may still connect to the targets.
std::vector<std::string_view> HostTable::SharingHosts(TimePoint now) const {
  std::vector<std::string_view> names;
  for (const std::string& domain : this->Domains()) {
    const bool large_domain = this->IsLargeDomain(domain);
    for (const HostEntry& host : this->Fetchers(domain)) {
      if (large_domain) {
        names.push_back(host.name);
      }
    }
  }
  for (const auto& [name, tracked] : this->hosts) {
    const bool shares = tracked.registered
                            ? !this->IsLargeDomain(tracked.entry.failure_domain)
                            : tracked.retained_until > now;
    if (shares) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t HostTable::SharingHostCount(TimePoint now) const {
  return std::max<std::size_t>(1, this->SharingHosts(now).size());
}

std::size_t HostTable::Rank(std::string_view name,
                            std::string_view key,
                            TimePoint now) const {
  const std::vector<std::string_view> sharing = this->SharingHosts(now);
  const bool shares =
      std::find(sharing.begin(), sharing.end(), name) != sharing.end();
  if (!shares && !sharing.empty()) {
    return sharing.size();
  }
  const std::uint64_t own = RendezvousScore(key, name);
  return static_cast<std::size_t>(std::count_if(
      sharing.begin(), sharing.end(), [&](std::string_view other) {
        return other != name && RendezvousScore(key, other) > own;
      }));
}

}  // namespace auburnyard
