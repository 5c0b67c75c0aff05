#include "src/daemon/configuration_watcher.h"

#include <algorithm>
#include <utility>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

constexpr std::size_t kConfigurationFeed = 0;
constexpr std::size_t kCatalogFeed = 1;

// The configuration age of a watching host reaches twice this value plus one
// exchange. With about 1.5 s for three gossip rounds, all hosts stay below
// kStaleAfter. Claims are stored under the same root, so the watches use the
// prefixes of the two document kinds instead of the root.
constexpr std::chrono::milliseconds kConfigurationWait{500};
// No decision depends on the age of catalogs: a target refuses a snapshot that
// it does not have.
constexpr std::chrono::milliseconds kCatalogWait{10'000};
// Limits the call rate of a watcher if the service answers each watch
// immediately.
constexpr std::chrono::milliseconds kMinCycle{100};
constexpr std::chrono::milliseconds kRankPollInterval{500};
// Limit on the first reads of the whole fleet after a simultaneous restart; the
// service handles about 2,000 reads/s for all of its users.
constexpr std::size_t kStartReadsPerSecond = 200;
constexpr std::size_t kAssumedFleetSize = 1'200;
// Documents are at most 1 MB; the remaining ones follow with the next digest
// exchange after 500 ms.
constexpr std::size_t kDocumentsPerExchange = 16;

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(
    ConfigurationStore& document_store,
    ConfigurationAge& host_configuration_age,
    const Clock& watcher_clock,
    WatcherHooks watcher_hooks,
    std::uint64_t seed)
    : store(document_store),
      configuration_age(host_configuration_age),
      clock(watcher_clock),
      hooks(std::move(watcher_hooks)),
      random(seed),
      feeds{DocumentFeed{.prefix = kConfigurationKey,
                         .wait = kConfigurationWait,
                         .backoff = Backoff(seed + 1)},
            DocumentFeed{.prefix = kCatalogPrefix,
                         .wait = kCatalogWait,
                         .backoff = Backoff(seed + 2)}} {}

void ConfigurationWatcher::Start() {
  this->store.OnChange(
      [watcher = this->weak_from_this()](const DocumentDigest& digest) {
        const auto self = watcher.lock();
        if (self && digest.key == kConfigurationKey) {
          self->configuration_age.SetRevision(digest.revision);
        }
      });
  this->configuration_age.SetRevision(
      this->store.RevisionOf(kConfigurationKey));
  const std::chrono::milliseconds delay = this->StartDelay();
  this->StepAfter(delay, kConfigurationFeed);
  this->StepAfter(delay, kCatalogFeed);
}

void ConfigurationWatcher::Stop() {
  this->stopped = true;
}

// Every host waits, even if its rank makes it a watcher: when the whole fleet
// starts, a host that has not discovered any other host ranks itself first.
std::chrono::milliseconds ConfigurationWatcher::StartDelay() {
  std::size_t fleet = this->hooks.fleet_size();
  fleet = fleet == 0 ? kAssumedFleetSize : fleet;
  const std::chrono::milliseconds spread(1000 * fleet * kFeedCount /
                                         kStartReadsPerSecond);
  const std::lock_guard lock(this->mutex);
  return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
      0, spread.count())(this->random));
}

void ConfigurationWatcher::StepAfter(std::chrono::milliseconds delay,
                                     std::size_t feed) {
  this->hooks.schedule(delay, [watcher = this->weak_from_this(), feed] {
    if (const auto self = watcher.lock()) {
      self->Step(feed);
    }
  });
}

void ConfigurationWatcher::Step(std::size_t feed) {
  if (this->stopped.load()) {
    return;
  }
  const bool watching = this->hooks.rank() < kWatchersPerDomain;
  bool read_done = this->received_from_peer.load();
  {
    const std::lock_guard lock(this->mutex);
    read_done = read_done || this->feeds.at(feed).read_done;
  }
  if (watching || !read_done) {
    this->Send(feed, watching);
  } else {
    this->StepAfter(kRankPollInterval, feed);
  }
}

void ConfigurationWatcher::Send(std::size_t index, bool watching) {
  WatchCall call{.feed = index, .sent_at = this->clock.Now()};
  for (const DocumentDigest& digest : this->store.Digests()) {
    call.in_force.emplace(digest.key, digest.revision);
  }
  {
    const std::lock_guard lock(this->mutex);
    const DocumentFeed& feed = this->feeds.at(index);
    call.prefix = feed.prefix;
    call.after = feed.position;
    call.wait = watching && call.after > 0 ? feed.wait : call.wait;
  }
  this->hooks.watch(
      call.prefix, call.after, call.wait,
      [watcher = this->weak_from_this(), call](const WatchResult& result) {
        const auto self = watcher.lock();
        if (self && !self->stopped.load()) {
          self->OnAnswer(call, result);
        }
      });
}

// A store that was restored during an outage may have passed the old position
// again with different contents, so everything is read again after each
// failure. The same applies to an empty store and to one whose position has
// decreased.
void ConfigurationWatcher::Retry(std::size_t index) {
  const bool watching = this->hooks.rank() < kWatchersPerDomain;
  // Most hosts need a single read and no watch, so their retries are spread
  // like their first reads.
  const auto spread =
      watching ? std::chrono::milliseconds(0) : this->StartDelay();
  std::chrono::milliseconds delay;
  {
    const std::lock_guard lock(this->mutex);
    this->feeds.at(index).position = 0;
    delay = this->feeds.at(index).backoff.Next();
  }
  this->StepAfter(delay + spread, index);
}

void ConfigurationWatcher::OnAnswer(const WatchCall& call,
                                    const WatchResult& result) {
  if (result.status != PlatformStatus::kOk) {
    this->Retry(call.feed);
    return;
  }
  for (const PlatformEntry& entry : result.entries) {
    this->TakeEntry(call, entry);
  }
  if (call.feed == kConfigurationFeed) {
    this->CheckMissing(call, result);
    this->ConfirmRevision(call, result);
  }
  const bool reread = result.position < call.after || result.position == 0;
  {
    const std::lock_guard lock(this->mutex);
    DocumentFeed& feed = this->feeds.at(call.feed);
    feed.read_done = true;
    feed.position = result.position;
    if (!reread) {
      feed.backoff.Reset();
    }
  }
  if (reread) {
    this->Retry(call.feed);
    return;
  }
  const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(
      this->clock.Now() - call.sent_at);
  this->StepAfter(std::max(kMinCycle - elapsed, std::chrono::milliseconds(0)),
                  call.feed);
}

void ConfigurationWatcher::TakeEntry(const WatchCall& call,
                                     const PlatformEntry& entry) {
  const bool configuration = entry.key == kConfigurationKey;
  if (!configuration && !entry.key.starts_with(kCatalogPrefix)) {
    return;
  }
  std::uint64_t accepted = 0;
  if (entry.deleted) {
    this->faults.Report(
        {entry.key, StoreFaultKind::kMissing, "the document was deleted"});
  } else {
    try {
      accepted = this->OfferEntry(call, entry);
    } catch (const Error& error) {
      this->faults.Report(
          {entry.key, StoreFaultKind::kMalformed, error.what()});
    }
  }
  if (configuration) {
    const std::lock_guard lock(this->mutex);
    this->store_revision = accepted;
  }
}

std::uint64_t ConfigurationWatcher::OfferEntry(const WatchCall& call,
                                               const PlatformEntry& entry) {
  const DocumentOutcome outcome = this->store.Offer(entry.key, entry.value);
  if (outcome == DocumentOutcome::kAccepted) {
    this->hooks.push({entry.key, entry.value});
  }
  const std::uint64_t revision = this->store.RevisionOf(entry.key);
  if (outcome == DocumentOutcome::kAccepted ||
      outcome == DocumentOutcome::kUnchanged) {
    this->faults.Clear(entry.key);
    return revision;
  }
  const auto sent = call.in_force.find(entry.key);
  if (outcome == DocumentOutcome::kConflict) {
    this->faults.Report({entry.key, StoreFaultKind::kConflict,
                         "the revision in force has other contents"});
  } else if (sent != call.in_force.end() && sent->second == revision) {
    // Otherwise a newer document came from a peer while the call was in
    // progress, which is not a fault of the store.
    this->faults.Report({entry.key, StoreFaultKind::kOlder,
                         "the revision is lower than the one in force"});
  }
  return 0;
}

void ConfigurationWatcher::CheckMissing(const WatchCall& call,
                                        const WatchResult& result) {
  const bool found = std::any_of(result.entries.begin(), result.entries.end(),
                                 [](const PlatformEntry& entry) {
                                   return entry.key == kConfigurationKey;
                                 });
  if (call.after != 0 || found || !call.in_force.contains(kConfigurationKey)) {
    return;
  }
  this->faults.Report({std::string(kConfigurationKey), StoreFaultKind::kMissing,
                       "the store does not have the document"});
  const std::lock_guard lock(this->mutex);
  this->store_revision = 0;
}

void ConfigurationWatcher::ConfirmRevision(const WatchCall& call,
                                           const WatchResult& result) {
  std::uint64_t revision = 0;
  {
    const std::lock_guard lock(this->mutex);
    // A lower position means that the contents differ from those that were
    // read.
    revision = result.position < call.after ? 0 : this->store_revision;
  }
  if (revision == 0) {
    return;
  }
  // An answer without entries was produced at the end of the wait; any other
  // may have been produced right after the call was sent.
  const TimePoint at =
      result.entries.empty()
          ? std::min(call.sent_at + call.wait, this->clock.Now())
          : call.sent_at;
  this->configuration_age.Confirm(revision, at);
}

void ConfigurationWatcher::OnPeerDocument(const DocumentMessage& message) {
  try {
    const DocumentOutcome outcome =
        this->store.Offer(message.key, message.text);
    if (outcome == DocumentOutcome::kAccepted) {
      this->received_from_peer = true;
      this->hooks.push(message);
    } else if (outcome == DocumentOutcome::kConflict) {
      this->faults.Report({message.key, StoreFaultKind::kConflict,
                           "a peer has other contents in the same revision"});
    }
  } catch (const Error&) {
    ++this->malformed_peer_documents;
  }
}

std::vector<DocumentMessage> ConfigurationWatcher::DocumentsFor(
    std::span<const DocumentDigest> peer_digests) const {
  std::vector<DocumentMessage> documents;
  for (const std::string& key : this->store.NewerThan(peer_digests)) {
    if (documents.size() == kDocumentsPerExchange) {
      break;
    }
    documents.push_back({key, this->store.DocumentText(key)});
  }
  return documents;
}

}  // namespace auburnyard
