#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_WATCHER_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_WATCHER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/configuration_age.h"
#include "auburnyard/configuration_store.h"
#include "src/daemon/document_feed.h"
#include "src/daemon/store_faults.h"
#include "src/daemon/watcher_hooks.h"

namespace boost::asio {
class io_context;
}

namespace auburnyard {

class PlatformClient;

/// Number of hosts per failure domain that watch the platform's service.
inline constexpr std::size_t kWatchersPerDomain = 2;

/// Reads configuration documents from the platform's service and from peers
/// into the store, and forwards accepted documents to peers. Thread-safe. The
/// store and the configuration age must outlive it.
class ConfigurationWatcher
    : public std::enable_shared_from_this<ConfigurationWatcher> {
 public:
  ConfigurationWatcher(ConfigurationStore& store,
                       ConfigurationAge& configuration_age,
                       const Clock& clock,
                       WatcherHooks hooks,
                       std::uint64_t seed);

  /// Reads all documents, then watches while this host's rank is below
  /// `kWatchersPerDomain`.
  void Start();
  void Stop();

  /// Handles a document from a peer. Older documents are ignored, conflicting
  /// ones are reported as faults and malformed ones are counted.
  void OnPeerDocument(const DocumentMessage& message);
  /// Documents that are missing at a peer with these digests, limited in
  /// number.
  std::vector<DocumentMessage> DocumentsFor(
      std::span<const DocumentDigest> peer_digests) const;

  std::vector<StoreFault> Faults() const { return this->faults.List(); }
  std::array<std::uint64_t, kStoreFaultKindCount> fault_counters() const {
    return this->faults.counters();
  }
  std::uint64_t malformed_from_peers() const {
    return this->malformed_peer_documents.load();
  }

 private:
  static constexpr std::size_t kFeedCount = 2;

  void Step(std::size_t feed);
  void Send(std::size_t feed, bool watching);
  void OnAnswer(const WatchCall& call, const WatchResult& result);
  void Retry(std::size_t feed);
  void TakeEntry(const WatchCall& call, const PlatformEntry& entry);
  /// Revision of the entry if it is in force now, otherwise 0.
  std::uint64_t OfferEntry(const WatchCall& call, const PlatformEntry& entry);
  void CheckMissing(const WatchCall& call, const WatchResult& result);
  void ConfirmRevision(const WatchCall& call, const WatchResult& result);
  std::chrono::milliseconds StartDelay();
  void StepAfter(std::chrono::milliseconds delay, std::size_t feed);

  ConfigurationStore& store;
  ConfigurationAge& configuration_age;
  const Clock& clock;
  WatcherHooks hooks;
  StoreFaults faults;
  std::atomic<bool> stopped{false};
  std::atomic<bool> received_from_peer{false};
  std::atomic<std::uint64_t> malformed_peer_documents{0};
  std::mutex mutex;
  std::mt19937_64 random;
  std::array<DocumentFeed, kFeedCount> feeds;
  /// Revision of the configuration that the store holds; 0 if unknown or
  /// refused.
  std::uint64_t store_revision = 0;
};

/// Hooks for the platform's service and timers of the context; the other hooks
/// are left empty.
WatcherHooks MakeWatcherHooks(boost::asio::io_context& context,
                              std::shared_ptr<PlatformClient> client);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_WATCHER_H_
