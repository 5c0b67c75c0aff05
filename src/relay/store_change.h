#ifndef AUBURNYARD_SRC_RELAY_STORE_CHANGE_H_
#define AUBURNYARD_SRC_RELAY_STORE_CHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "auburnyard/host_entry.h"
#include "auburnyard/rollout_table.h"
#include "auburnyard/route_table.h"
#include "auburnyard/target_entry.h"
#include "src/relay/store_codec.h"

namespace auburnyard {

struct RoutesChanged {
  std::shared_ptr<const RouteTable> table;
};
struct DomainEvacuation {
  std::string domain;
  bool evacuated = false;
};
struct TargetRegistered {
  TargetEntry entry;
};
struct TargetUnregistered {
  std::string id;
};
struct HostRegistered {
  HostEntry entry;
};
struct HostUnregistered {
  std::string name;
};
/// The order of the service is gone (revision 0) or cannot be decoded.
struct RolloutWithdrawn {
  std::string service;
  std::uint64_t revision = 0;
};
struct RolloutStageRemoved {
  std::string service;
};
/// A key without meaning for the relay.
struct UnrelatedKey {};

using StoreChange = std::variant<UnrelatedKey,
                                 RoutesChanged,
                                 DomainEvacuation,
                                 TargetRegistered,
                                 TargetUnregistered,
                                 HostRegistered,
                                 HostUnregistered,
                                 RolloutOrder,
                                 RolloutWithdrawn,
                                 RolloutStatus,
                                 RolloutStageRecord,
                                 RolloutStageRemoved,
                                 RolloutReport>;

/// Maps keys of the store to changes. Supplied by the adapter of the
/// deployment.
struct StoreSchema {
  std::string target_prefix;
  std::string host_prefix;  ///< of the registrations of entry hosts
  /// Throws Error(kProtocol) if the value cannot be decoded.
  std::function<StoreChange(const StoreItem& item)> decode;
  /// Identifier of the target that the key registers.
  std::function<std::string(const StoreItem& item)> target_id;
  /// Key and value of a host's own registration.
  std::function<StoreItem(const HostEntry& entry)> encode_host;
  std::function<StoreTransaction(const RolloutWrite& write)> encode_rollout;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_CHANGE_H_
