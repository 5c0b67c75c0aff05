#ifndef AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
#define AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/mirror_choice.h"
#include "src/relay/mirror_reader.h"
#include "src/relay/mirror_server.h"
#include "src/relay/relay_service.h"
#include "src/relay/store_change.h"
#include "src/relay/store_mirror.h"
#include "src/relay/store_watch.h"

namespace auburnyard {

/// Keeps routes, evacuations, targets and entry hosts as the store has them.
/// One watch follows all keys, because each call has a price. In large failure
/// domains, and while the store does not serve this host, the mirrors of other
/// hosts take its place.
class StoreFollower {
 public:
  struct Identity {
    std::string host_name;
    std::string failure_domain;
    /// Mirrors that are known without the store.
    std::vector<std::string> seed_mirrors;
    /// Time within which a change must be in force at all hosts.
    std::chrono::milliseconds change_limit{3'000};
  };

  StoreFollower(const RelayContext& context,
                const StoreCodec& codec,
                const StoreSchema& schema,
                const HostPort& store,
                Identity identity,
                RelayService& service,
                TargetTable& targets,
                HostTable& hosts,
                RelayMetrics& metrics);

  void Start();
  void Stop();
  /// Lets other hosts follow the store through this one. Throws
  /// Error(kConnection).
  void ListenForMirror(const std::string& address);
  /// Sends those hosts elsewhere, before this one ends.
  void StopMirroring();
  void Sweep();
  std::uint64_t revision() const { return this->mirror.revision(); }
  /// The keys were read at least once, whatever they hold.
  bool has_store_data() const { return this->watch->synchronized(); }
  /// Routes and registrations were read at least once.
  bool synchronized() const;
  /// Hosts of the failure domain as far as they follow the same one; 0: not
  /// known.
  std::size_t domain_size() const {
    const std::size_t following = this->mirror_server.followers();
    return std::max(this->followed_domain_size,
                    following == 0 ? 0 : following + 1);
  }
  /// Time since all changes up to then were known here.
  Duration age() const;
  /// A change that must be in force everywhere may not be known here yet.
  bool outdated() const;

 private:
  void OnSnapshot(const StorePage& page);
  void OnChanges(const StorePage& page);
  void OnMirrorPage(const StorePage& page, bool is_snapshot);
  std::string NextMirror();
  void ChooseSource();
  void LeaveOutdatedMirror();
  void UpdateMirrorServer();
  void UpdateWatchTiming();
  StoreWatch::Hooks WatchHooks();
  MirrorReader::Hooks ReaderHooks();
  /// Returns whether hosts that follow this one need to know.
  bool Apply(const StoreItem& item);
  /// Time within which other hosts learn of a change; the rest of the limit is
  /// for slow hosts.
  Duration PropagationLimit() const;
  void SetUpToDateAt(TimePoint time);
  StoreChange Decode(const StoreItem& item);

  const StoreSchema& schema;
  Identity identity;
  RelayService& service;
  const Clock& clock;
  TargetTable& targets;
  HostTable& hosts;
  RelayMetrics& metrics;
  StoreMirror mirror;
  MirrorServer mirror_server;
  MirrorChoice choice;
  std::mt19937_64 random;
  std::string followed_mirror;  // mirror in place of the watch; may be empty
  TimePoint next_choice{};
  TimePoint up_to_date_at{};             // all changes up to then are known
  std::size_t followed_domain_size = 0;  // as the mirror said last
  bool mirroring_stopped = false;
  std::shared_ptr<StoreWatch> watch;
  std::shared_ptr<MirrorReader> reader;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
