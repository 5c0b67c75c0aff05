#include "auburnyard/mirror_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// In smaller domains every host watches the store: a mirror would save few
// calls and add its own delay.
constexpr std::size_t kMinMirroredDomainHosts = 5;
// Longer than a mirror needs to detect that it has lost the store.
constexpr std::chrono::seconds kWatchStorePeriod{6};
// A process that was killed is usually restarted within this time.
constexpr std::chrono::seconds kAvoidMirrorPeriod{6};
// Differs from the key of the bundle fetchers, so that among equal hosts the
// watcher is usually not a fetcher, because fetchers carry more load.
constexpr std::string_view kRankingKey = "store watchers";

}  // namespace

MirrorChoice::MirrorChoice(std::string name) : host_name(std::move(name)) {}

std::string MirrorChoice::Choose(std::span<const HostEntry> domain_hosts,
                                 TimePoint now) const {
  if (domain_hosts.size() < kMinMirroredDomainHosts ||
      now < this->watch_store_until) {
    return {};
  }
  std::vector<HostEntry> ranked;
  std::copy_if(domain_hosts.begin(), domain_hosts.end(),
               std::back_inserter(ranked), [this, now](const HostEntry& host) {
                 const auto found = this->avoided.find(host.mirror_address);
                 return !host.mirror_address.empty() &&
                        (found == this->avoided.end() || found->second <= now);
               });
  if (ranked.empty()) {
    return {};
  }
  SortByCapacity(ranked, kRankingKey);
  return ranked.front().name == this->host_name ? std::string()
                                                : ranked.front().mirror_address;
}

void MirrorChoice::OnFailure(std::string_view mirror, TimePoint now) {
  std::erase_if(this->avoided,
                [now](const auto& entry) { return entry.second <= now; });
  this->avoided[std::string(mirror)] = now + kAvoidMirrorPeriod;
}

void MirrorChoice::OnOutdated(TimePoint now) {
  this->watch_store_until = now + kWatchStorePeriod;
}

}  // namespace auburnyard
