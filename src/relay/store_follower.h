#ifndef AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
#define AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/mirror_choice.h"
#include "auburnyard/store_timing.h"
#include "src/relay/mirror_reader.h"
#include "src/relay/mirror_server.h"
#include "src/relay/relay_service.h"
#include "src/relay/store_change.h"
#include "src/relay/store_mirror.h"
#include "src/relay/store_watch.h"

namespace auburnyard {

/// Keeps routes, evacuations, targets and entry hosts synchronized with the
/// store. A single watch covers all keys, because each call to the store has a
/// cost. In large failure domains, and while the store does not answer this
/// host, the mirrors of other hosts are read instead.
class StoreFollower {
 public:
  struct Identity {
    std::string host_name;
    std::string failure_domain;
    /// Configured mirrors, for use before the store has been read.
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

  /// Passes orders and results of rollouts to the table. Without it they have
  /// no effect.
  void SetRollouts(RolloutTable& table) { this->rollouts = &table; }
  void Start();
  void Stop();
  /// Serves this host's copy of the store to other hosts. Throws
  /// Error(kConnection).
  void ListenForMirror(const std::string& address);
  /// Makes those hosts choose another source, before this host shuts down.
  void StopMirroring();
  void Sweep();
  /// Applies to calls that begin later.
  void SetChangeLimit(std::chrono::milliseconds limit);
  std::uint64_t revision() const { return this->mirror.revision(); }
  /// Sets the function that is called when the store is seen in a higher epoch
  /// than any known before.
  void SetEpochHook(std::function<void(std::uint64_t epoch)> hook) {
    this->epoch_hook = std::move(hook);
  }
  /// Records that the store was seen in this epoch on another connection.
  void ObserveEpoch(std::uint64_t epoch);
  /// Highest known epoch of the store.
  std::uint64_t epoch() const { return this->watch->epoch(); }
  /// True if all keys were read at least once, whatever they contain.
  bool has_store_data() const { return this->watch->synchronized(); }
  /// True if routes and target registrations were read.
  bool synchronized() const;
  /// Number of hosts of the failure domain that share a watcher of the store;
  /// 0: not known.
  std::size_t domain_size() const {
    const std::size_t following = this->mirror_server.followers();
    return std::max(this->followed_domain_size,
                    following == 0 ? 0 : following + 1);
  }
  /// Age of the store data: time since all changes had been received here.
  Duration age() const;
  /// True if a change that must already be in force may not have been received
  /// here.
  bool outdated() const;

 private:
  /// Where a page comes from, for logs and metrics.
  struct PageOrigin {
    std::string_view source;
    std::uint64_t epoch = 0;
    /// Age of this host's data before the page; none if it was not confirmed.
    std::optional<Duration> age;
  };
  PageOrigin OriginFrom(std::string_view source, std::uint64_t epoch) const;
  void OnSnapshot(const StorePage& page, const PageOrigin& origin);
  void OnChanges(const StorePage& page, const PageOrigin& origin);
  /// Returns false if the page is older than the data here.
  bool OnMirrorPage(const StorePage& page, bool is_snapshot);
  void OnEpoch(std::uint64_t epoch);
  void OnMirrorInOlderEpoch(const StorePage& page);
  /// Holds back the removal of items that a read in a new epoch does not have.
  void HoldRemovals(const StorePage& page);
  void RemoveHeld();
  std::string NextMirror();
  std::string PickSubstitute();
  void ChooseSource();
  void LeaveOutdatedMirror();
  void UpdateMirrorServer();
  void UpdateTiming();
  void ApplyTiming();
  StoreWatch::Hooks WatchHooks();
  MirrorReader::Hooks ReaderHooks();
  /// Returns whether hosts that follow this one must be notified.
  bool Apply(const StoreItem& item, const PageOrigin& origin);
  /// Returns whether the change concerns a rollout.
  bool ApplyRollout(const StoreChange& change);
  void PutInForce(const RoutesChanged& routes,
                  const StoreItem& item,
                  const PageOrigin& origin);
  void SetUpToDateAt(TimePoint time);
  StoreChange Decode(const StoreItem& item);

  const StoreSchema& schema;
  Identity identity;
  RelayService& service;
  const Clock& clock;
  TargetTable& targets;
  HostTable& hosts;
  RelayMetrics& metrics;
  RolloutTable* rollouts = nullptr;
  StoreMirror mirror;
  MirrorServer mirror_server;
  MirrorChoice choice;
  std::mt19937_64 random;
  bool has_followers = false;
  StoreTiming timing;  // for `has_followers`
  // Mirror read instead of the store; may be empty.
  std::string followed_mirror;
  // Mirror read while the store does not answer; may be empty.
  std::string substitute_mirror;
  TimePoint next_choice{};
  TimePoint up_to_date_at{};  // all changes up to this time are applied
  std::size_t followed_domain_size = 0;  // as last reported by the mirror
  bool mirroring_stopped = false;
  std::function<void(std::uint64_t epoch)> epoch_hook;
  TimePoint epoch_seen_at{};  // the highest known epoch
  struct HeldItem {
    StoreItem item;
    TimePoint until;
  };
  // Items in force that the present epoch does not have, by key.
  std::map<std::string, HeldItem, std::less<>> held_removals;
  std::shared_ptr<StoreWatch> watch;
  std::shared_ptr<MirrorReader> reader;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
