#ifndef AUBURNYARD_SRC_RELAY_ROLLOUT_WRITER_H_
#define AUBURNYARD_SRC_RELAY_ROLLOUT_WRITER_H_

#include <functional>
#include <memory>
#include <vector>

#include "auburnyard/rollout_table.h"
#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_call_outcome.h"
#include "src/relay/store_change.h"

namespace auburnyard {

/// Polls the rollouts of this host and executes their writes. The result
/// of a write is read from the watch and not from its response, which may be
/// lost.
class RolloutWriter : public std::enable_shared_from_this<RolloutWriter> {
 public:
  struct Hooks {
    std::function<void(std::string_view kind, StoreCallOutcome outcome)>
        on_call;
    std::function<RolloutTargets(std::string_view service)> targets;
  };

  RolloutWriter(const RelayContext& context,
                const StoreCodec& codec,
                const StoreSchema& schema,
                HostPort store,
                RolloutTable& table,
                Hooks hooks);

  /// Called every few tens of milliseconds.
  void Sweep();

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void Write(const RolloutWrite& write);
  void OnResult(const RolloutWrite& write,
                const ConnectionPtr& connection,
                const ExchangeResult& result);

  const RelayContext& context;
  const StoreCodec& codec;
  const StoreSchema& schema;
  HostPort store;
  RolloutTable& table;
  Hooks hooks;
  std::vector<ConnectionPtr> idle;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_ROLLOUT_WRITER_H_
