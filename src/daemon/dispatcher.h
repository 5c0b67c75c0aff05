#ifndef AUBURNYARD_SRC_DAEMON_DISPATCHER_H_
#define AUBURNYARD_SRC_DAEMON_DISPATCHER_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "auburnyard/host_record.h"
#include "src/daemon/gate_table.h"
#include "src/daemon/remote_gate_front.h"
#include "src/daemon/remote_gate_owner.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

struct DispatcherHooks {
  /// Owner of a target; empty if the owner is unknown. If not set, every gate
  /// is local.
  std::function<std::optional<HostRecord>(const std::string& target)> owner;
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  std::function<void(const std::string& host)> report_unreachable;
};

/// Passes sub-requests to the gates of their targets, on this or on other
/// hosts, and runs sub-requests of other hosts at the gates of this host.
/// Thread safe.
class Dispatcher {
 public:
  Dispatcher(boost::asio::io_context& context,
             const Clock& clock,
             GateTable& gates,
             std::string own_id,
             DispatcherHooks hooks);

  void Enqueue(const std::vector<SubRequest>& batch,
               const SubRequestObserver& observer);
  void Cancel(const std::string& target, const AttemptId& id, Reason reason);

  void OnMessage(const proto::Envelope& envelope);
  /// The host is suspected or has left.
  void OnHostLost(const std::string& id, bool left);
  /// Call at least every 100 ms.
  void OnTimer();
  /// Number of sub-requests of other hosts that are queued or running here.
  std::size_t remote_sub_requests() { return this->owner_side.outstanding(); }

 private:
  RemoteGateFrontHooks MakeFrontHooks();
  RemoteGateOwnerHooks MakeOwnerHooks();
  void EnqueueRemote(const SubRequest& request);
  void OnStarted(const AttemptId& id);
  void OnOutcome(const RemoteGateOutcome& outcome);
  void Fail(const SubRequest& request,
            const SubRequestObserver& observer,
            Reason reason);

  boost::asio::io_context& context;
  const Clock& clock;
  GateTable& gates;
  std::string own_id;
  DispatcherHooks hooks;
  RemoteGateFront front_side;
  RemoteGateOwner owner_side;
  std::mutex mutex;
  std::unordered_map<AttemptId, SubRequestObserver> forwarded;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_DISPATCHER_H_
