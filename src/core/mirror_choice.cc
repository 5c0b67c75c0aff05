#include "auburnyard/mirror_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// Hosts of a domain that watch the store for all of it. If one is lost, the
// others watch themselves until they know of its successor.
constexpr std::size_t kWatchersPerDomain = 1;
// In smaller domains every host watches: a mirror would save few calls and add
// its delay.
constexpr std::size_t kSmallestMirrored = 5;
// Longer than a mirror needs to notice that it has lost the store.
constexpr std::chrono::seconds kDirectAfterFailure{6};
// Sets the order among equal hosts apart from that of the hosts that fetch
// bundles, which have more work.
constexpr std::string_view kRankingKey = "store watchers";

}  // namespace

MirrorChoice::MirrorChoice(std::string name) : host_name(std::move(name)) {}

std::string MirrorChoice::Choose(std::span<const HostEntry> neighbours,
                                 TimePoint now) const {
  if (neighbours.size() < kSmallestMirrored || now < this->direct_until) {
    return {};
  }
  std::vector<HostEntry> ranked;
  std::copy_if(
      neighbours.begin(), neighbours.end(), std::back_inserter(ranked),
      [](const HostEntry& host) { return !host.mirror_address.empty(); });
  SortForSharedWork(ranked, kRankingKey);
  ranked.resize(std::min(kWatchersPerDomain, ranked.size()));
  const bool watches = std::any_of(
      ranked.begin(), ranked.end(),
      [this](const HostEntry& host) { return host.name == this->host_name; });
  if (watches || ranked.empty()) {
    return {};
  }
  const std::size_t pick = HashText(this->host_name) + this->failures;
  return ranked[pick % ranked.size()].mirror_address;
}

void MirrorChoice::OnFailure(TimePoint now) {
  ++this->failures;
  this->direct_until = now + kDirectAfterFailure;
}

}  // namespace auburnyard
