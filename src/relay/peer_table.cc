#include "src/relay/peer_table.h"

#include <algorithm>
#include <utility>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

constexpr std::size_t kConnectionsPerPeer = 16;
// Opened in advance, because a new connection costs a round trip between
// regions.
constexpr std::size_t kIdleConnections = 2;
constexpr std::chrono::milliseconds kPreconnectInterval{250};
// Keep-alive probes on the connections opened in advance detect unreachable
// hosts; each host has too few requests to detect them otherwise.
constexpr std::chrono::seconds kProbeInterval{1};
// Requests that a peer can process concurrently without queueing.
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
  TargetPool::Hooks hooks;
  hooks.on_admission = [this](const TargetPtr& host,
                              std::span<const AdmissionShare> shares) {
    if (this->on_admission) {
      this->on_admission(host, shares);
    }
  };
  hooks.on_unreadable = [this](const TargetPtr& target,
                               std::string_view request_id,
                               std::string_view fault) {
    if (this->on_unreadable) {
      this->on_unreadable(target, request_id, fault);
    }
  };
  hooks.on_leaving_report =
      [this](std::span<const TargetIncarnation> reported) {
        if (this->on_leaving_report) {
          this->on_leaving_report(reported);
        }
      };
  auto pool =
      std::make_shared<TargetPool>(this->context, state, std::move(hooks));
  pool->SetConnectionLimit(kConnectionsPerPeer);
  pool->SetLinger(Duration::zero());
  pool->EnableProbes(kProbeInterval);
  this->pools[entry.name] = std::move(pool);
  return state;
}

bool PeerTable::delegates() const {
  return !this->hosts.ConnectsToTargets(this->own_name, this->own_domain);
}

// All hosts choose the same peers, those with the largest CPU share: a host
// that fetches for many others has enough requests to each target to detect
// which ones are slow or paused.
std::vector<TargetPtr> PeerTable::Candidates(std::string_view domain) {
  std::vector<TargetPtr> candidates;
  for (const HostEntry& entry : this->hosts.Fetchers(domain)) {
    if (entry.name != this->own_name) {
      candidates.push_back(this->PeerOf(entry));
    }
  }
  return candidates;
}

// Chooses the cheaper of two random candidates, because the cheapest of all
// would attract the requests of all hosts with the same view. Skips peers that
// may be unreachable: fetching the parts from their targets costs less than an
// answer that never arrives.
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
