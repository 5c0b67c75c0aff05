#ifndef AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
#define AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_

#include <memory>

#include "auburnyard/host_table.h"
#include "src/relay/relay_service.h"
#include "src/relay/store_change.h"
#include "src/relay/store_watch.h"

namespace auburnyard {

/// Keeps routes, evacuations, targets and entry hosts as the store has them.
/// One watch follows all keys, because each call has a price.
class StoreFollower {
 public:
  StoreFollower(const RelayContext& context,
                const StoreWire& wire,
                const StoreSchema& schema,
                const HostPort& store,
                std::uint64_t seed,
                RelayService& service,
                TargetTable& targets,
                HostTable& hosts,
                RelayMetrics& metrics);

  void Start();
  void Stop();
  /// Routes and registrations were read at least once.
  bool synchronized() const;

 private:
  void OnSnapshot(const std::vector<StoreItem>& items);
  void Apply(const StoreItem& item);
  StoreChange Decode(const StoreItem& item);

  const StoreSchema& schema;
  RelayService& service;
  const Clock& clock;
  TargetTable& targets;
  HostTable& hosts;
  RelayMetrics& metrics;
  std::shared_ptr<StoreWatch> watch;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_FOLLOWER_H_
