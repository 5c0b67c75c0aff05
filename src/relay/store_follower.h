#ifndef AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
#define AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_

#include <memory>

#include "src/relay/relay_service.h"
#include "src/relay/store_change.h"
#include "src/relay/store_watch.h"

namespace auburnyard {

/// Keeps routes, evacuations and targets as the store has them.
class StoreFollower {
 public:
  StoreFollower(const RelayContext& context,
                const StoreWire& wire,
                const StoreSchema& schema,
                const HostPort& store,
                std::uint64_t seed,
                RelayService& service,
                TargetTable& targets,
                RelayMetrics& metrics);

  void Start();
  void Stop();
  /// Routes and registrations were read at least once.
  bool synchronized() const;

 private:
  StoreWatch::Hooks CommonHooks();
  void OnOperatorSnapshot(const std::vector<StoreItem>& items);
  void OnTargetSnapshot(const std::vector<StoreItem>& items);
  void Apply(const StoreItem& item);
  StoreChange Decode(const StoreItem& item);

  const StoreSchema& schema;
  RelayService& service;
  TargetTable& targets;
  RelayMetrics& metrics;
  std::shared_ptr<StoreWatch> operator_watch;
  std::shared_ptr<StoreWatch> target_watch;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
