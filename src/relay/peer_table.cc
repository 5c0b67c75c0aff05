#include "src/relay/peer_table.h"

#include <algorithm>
#include <utility>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

constexpr std::size_t kConnectionsPerPeer = 16;
// A new connection costs a round trip between regions, so that some are open
// ahead of need.
constexpr std::size_t kIdleConnections = 2;
constexpr std::chrono::milliseconds kPreconnectInterval{250};
// Each host sees few requests, so that a host that is out of reach is found by
// probes on connections that are open ahead of need.
constexpr std::chrono::seconds kProbeInterval{1};
// Requests that a peer carries out at the same time without delay.
constexpr std::uint32_t kPeerSlots = 16;

}  // namespace

PeerTable::PeerTable(const RelayContext& relay_context,
                     const HostTable& host_table,
                     std::string name,
                     std::string domain)
    : context(relay_context),
      hosts(host_table),
      own_name(std::move(name)),
      own_domain(std::move(domain)),
      random(HashText(this->own_name)) {}

TargetPtr PeerTable::PeerOf(const HostEntry& entry) {
  const auto found = this->pools.find(entry.name);
  if (found != this->pools.end() &&
      found->second->target()->entry().address == entry.address) {
    return found->second->target();
  }
  auto state = std::make_shared<TargetState>(
      TargetEntry{.id = entry.name,
                  .address = entry.address,
                  .failure_domain = entry.failure_domain,
                  .slots = kPeerSlots},
      Distance::kOtherRegion);
  auto pool =
      std::make_shared<TargetPool>(this->context, state, TargetPool::Hooks());
  pool->SetConnectionLimit(kConnectionsPerPeer);
  pool->SetLinger(Duration::zero());
  pool->EnableProbes(kProbeInterval);
  this->pools[entry.name] = std::move(pool);
  return state;
}

bool PeerTable::delegates() const {
  return !this->hosts.Connects(this->own_name, this->own_domain);
}

// All hosts choose the same ones, of those with most processor time: a host
// that fetches for many others sees enough of each target to know which ones
// are slow or in a pause.
std::vector<TargetPtr> PeerTable::Candidates(std::string_view domain) {
  std::vector<TargetPtr> candidates;
  for (const HostEntry& entry : this->hosts.Fetchers(domain)) {
    if (entry.name != this->own_name) {
      candidates.push_back(this->PeerOf(entry));
    }
  }
  return candidates;
}

// The better of two at random: the best of all would draw the requests of all
// hosts that share this view. None that may be out of reach: the parts are then
// fetched from their targets, which costs less than an answer that never comes.
TargetPtr PeerTable::Choose(std::string_view domain) {
  const TimePoint now = this->context.clock.Now();
  std::vector<TargetPtr> candidates = this->Candidates(domain);
  std::erase_if(candidates, [this, now](const TargetPtr& peer) {
    return peer->Avoided(now) || peer->Stalled(now) ||
           !this->PoolOf(peer)->established();
  });
  if (candidates.empty()) {
    return nullptr;
  }
  std::shuffle(candidates.begin(), candidates.end(), this->random);
  if (candidates.size() > 1 &&
      candidates[1]->Cost(now) < candidates[0]->Cost(now)) {
    return candidates[1];
  }
  return candidates[0];
}

std::shared_ptr<TargetPool> PeerTable::PoolOf(const TargetPtr& peer) const {
  return this->pools.at(peer->entry().id);
}

void PeerTable::Sweep() {
  for (const auto& [name, pool] : this->pools) {
    pool->Sweep();
  }
  const TimePoint now = this->context.clock.Now();
  if (now < this->next_preconnect) {
    return;
  }
  this->next_preconnect = now + kPreconnectInterval;
  for (const std::string& domain : this->hosts.Domains()) {
    if (domain == this->own_domain && !this->delegates()) {
      continue;
    }
    for (const TargetPtr& peer : this->Candidates(domain)) {
      this->PoolOf(peer)->Preconnect(kIdleConnections);
    }
  }
}

}  // namespace auburnyard
