#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard/configuration_store.h"
#include "auburnyard/knowledge.h"
#include "auburnyard/pause_guard.h"
#include "src/daemon/configuration_watcher.h"
#include "src/daemon/membership_hooks.h"

namespace auburnyard {

/// Revision and knowledge age of a peer, by its last digests.
struct PeerKnowledge {
  std::uint64_t revision = 0;
  std::optional<Duration> age;
};

/// Exchanges digests, ages and documents with peers through the hooks of
/// membership. Thread-safe. Store, knowledge and clock must outlive it.
class ConfigurationGossip
    : public std::enable_shared_from_this<ConfigurationGossip> {
 public:
  ConfigurationGossip(ConfigurationStore& store,
                      Knowledge& knowledge,
                      const Clock& clock,
                      std::shared_ptr<ConfigurationWatcher> watcher);

  /// Starts to watch for pauses of this process.
  void Start(decltype(WatcherHooks::schedule) schedule);

  /// Hook `digests`.
  std::vector<DocumentDigest> Digests() const;
  /// Hook `on_digests`. Returns the documents that the peer lacks.
  std::vector<PeerDocument> OnDigests(
      const std::string& peer_address,
      const std::vector<DocumentDigest>& digests);
  /// Hook `on_document`.
  void OnDocument(const PeerDocument& document);
  /// A document in force with its age, to push or to send.
  PeerDocument Describe(const DocumentMessage& message) const;

  /// By peer address. The ages are as of now. Peers that were not heard for 10
  /// minutes are left out.
  std::map<std::string, PeerKnowledge> Peers();

 private:
  struct Heard {
    std::uint64_t revision = 0;
    std::optional<TimePoint> confirmed_at;
    TimePoint heard_at;
  };

  void Tick(const decltype(WatcherHooks::schedule)& schedule);
  void Learn(const DocumentDigest& digest);

  ConfigurationStore& store;
  Knowledge& knowledge;
  const Clock& clock;
  std::shared_ptr<ConfigurationWatcher> watcher;
  PauseGuard pauses;
  std::mutex mutex;
  std::map<std::string, Heard> peers;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_
