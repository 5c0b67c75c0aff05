#include "src/daemon/configuration_gossip.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace auburnyard {

namespace {

// Stands for "never confirmed" in a digest. Digests of catalogs have it too.
constexpr std::chrono::milliseconds kNoAge{
    std::numeric_limits<std::uint32_t>::max()};

// Hosts are replaced at new addresses, so the table would grow for ever.
constexpr std::chrono::minutes kForgetAfter{10};

}  // namespace

ConfigurationGossip::ConfigurationGossip(
    ConfigurationStore& document_store,
    Knowledge& configuration_knowledge,
    const Clock& gossip_clock,
    std::shared_ptr<ConfigurationWatcher> configuration_watcher)
    : store(document_store),
      knowledge(configuration_knowledge),
      clock(gossip_clock),
      watcher(std::move(configuration_watcher)),
      pauses(gossip_clock.Now()) {}

void ConfigurationGossip::Start(decltype(WatcherHooks::schedule) schedule) {
  this->Tick(schedule);
}

void ConfigurationGossip::Tick(
    const decltype(WatcherHooks::schedule)& schedule) {
  this->pauses.Tick(this->clock.Now());
  schedule(PauseGuard::kTick, [self = this->weak_from_this(), schedule] {
    if (const auto gossip = self.lock()) {
      gossip->Tick(schedule);
    }
  });
}

std::vector<DocumentDigest> ConfigurationGossip::Digests() const {
  const auto report = this->knowledge.Report(this->clock.Now());
  std::vector<DocumentDigest> digests;
  for (const DocumentRevision& held : this->store.Digests()) {
    DocumentDigest digest{held.key, held.revision, kNoAge};
    if (report && held.key == kConfigurationKey &&
        held.revision == report->revision) {
      digest.age = std::min(
          kNoAge, std::chrono::ceil<std::chrono::milliseconds>(report->age));
    }
    digests.push_back(std::move(digest));
  }
  return digests;
}

void ConfigurationGossip::Learn(const DocumentDigest& digest) {
  if (digest.key == kConfigurationKey && digest.age < kNoAge) {
    this->knowledge.Learn({digest.revision, digest.age},
                          this->pauses.SentAfter(this->clock.Now()));
  }
}

std::vector<PeerDocument> ConfigurationGossip::OnDigests(
    const std::string& peer_address,
    const std::vector<DocumentDigest>& digests) {
  std::vector<DocumentRevision> theirs;
  for (const DocumentDigest& digest : digests) {
    theirs.push_back({digest.key, digest.revision});
    this->Learn(digest);
    if (digest.key == kConfigurationKey) {
      const std::lock_guard lock(this->mutex);
      Heard& heard = this->peers[peer_address];
      heard.revision = digest.revision;
      heard.heard_at = this->clock.Now();
      if (digest.age < kNoAge) {
        heard.confirmed_at = this->clock.Now() - digest.age;
      }
    }
  }
  std::vector<PeerDocument> documents;
  for (const DocumentMessage& message : this->watcher->DocumentsFor(theirs)) {
    documents.push_back(this->Describe(message));
  }
  return documents;
}

void ConfigurationGossip::OnDocument(const PeerDocument& document) {
  this->watcher->OnPeerDocument({document.digest.key, document.content});
  this->Learn(document.digest);
}

PeerDocument ConfigurationGossip::Describe(
    const DocumentMessage& message) const {
  PeerDocument document{{message.key, 0, kNoAge}, message.text};
  for (const DocumentDigest& digest : this->Digests()) {
    if (digest.key == message.key) {
      document.digest = digest;
    }
  }
  return document;
}

std::map<std::string, PeerKnowledge> ConfigurationGossip::Peers() {
  const TimePoint now = this->clock.Now();
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.heard_at > kForgetAfter;
  });
  std::map<std::string, PeerKnowledge> known;
  for (const auto& [address, heard] : this->peers) {
    PeerKnowledge& peer = known[address];
    peer.revision = heard.revision;
    if (heard.confirmed_at) {
      peer.age = now - *heard.confirmed_at;
    }
  }
  return known;
}

}  // namespace auburnyard
