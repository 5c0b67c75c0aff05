#ifndef AUBURNYARD_SRC_DAEMON_ENTRY_HOST_H_
#define AUBURNYARD_SRC_DAEMON_ENTRY_HOST_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/configuration_age.h"
#include "auburnyard/configuration_store.h"
#include "src/daemon/claim_service.h"
#include "src/daemon/configuration_editor.h"
#include "src/daemon/configuration_gossip.h"
#include "src/daemon/configuration_watcher.h"
#include "src/daemon/decision_recorder.h"
#include "src/daemon/dispatcher.h"
#include "src/daemon/gate_table.h"
#include "src/daemon/host_routes.h"
#include "src/daemon/limit_policy.h"
#include "src/daemon/membership_service.h"
#include "src/daemon/operator_api.h"
#include "src/daemon/periodic_task.h"
#include "src/daemon/query_planner.h"
#include "src/daemon/query_service.h"
#include "src/daemon/settings.h"
#include "src/net/http_server.h"
#include "src/net/platform_client.h"

namespace auburnyard {

/// An entry host: owns the components of the daemon and connects them.
class EntryHost {
 public:
  /// Throws Error if the peer address cannot be bound.
  explicit EntryHost(Settings settings);

  /// Serves until a graceful shutdown has finished. Throws Error if the address
  /// for callers cannot be bound.
  void Run();

 private:
  GateHooks MakeGateHooks();
  DispatcherHooks MakeDispatcherHooks();
  MembershipHooks MakeMembershipHooks();
  WatcherHooks MakeConfigurationHooks();
  ConfigurationGossipHooks MakeGossipHooks();
  OperatorApiParts MakeOperatorParts();
  HostRoutesParts MakeRoutesParts();
  void StartParts();
  void StartTasks();
  void AddTask(Duration interval, std::function<void()> task);
  void OnMessage(const proto::Envelope& envelope);
  void OnConfiguration();
  void OnMembershipChange();
  void OnGossipRound();
  bool MaySend(const TargetConfig& target) const;
  std::optional<HostRecord> OwnerOf(const std::string& target);
  std::vector<InFlightWork> InFlight() const;
  std::vector<HostStatus> OtherHosts();
  void RequestHostStatus();
  void WaitForSignal();
  void BeginShutdown();
  void StopAccepting();
  void FinishWhenIdle();
  bool Idle();
  bool Ready();
  bool GroupServes();
  void StopParts();

  Settings settings;
  Clock clock;
  boost::asio::io_context context;
  boost::asio::signal_set signals;
  boost::asio::steady_timer shutdown_timer;
  TimePoint shutdown_deadline;
  std::atomic<bool> draining{false};
  std::atomic<bool> serving{false};
  std::uint64_t start_nonce;
  Metrics metrics;
  DecisionRecorder recorder;
  ConfigurationStore store;
  ConfigurationAge configuration_age;
  std::shared_ptr<PlatformClient> platform;
  std::shared_ptr<MembershipService> membership;
  LimitPolicy limits;
  GateTable gates;
  QueryPlanner planner;
  Dispatcher dispatcher;
  std::shared_ptr<ClaimService> claims;
  QueryService queries;
  std::shared_ptr<ConfigurationWatcher> watcher;
  ConfigurationGossip gossip;
  ConfigurationEditor editor;
  std::shared_ptr<OperatorApi> operator_api;
  HostRoutes routes;
  std::shared_ptr<HttpServer> server;
  std::vector<std::shared_ptr<PeriodicTask>> tasks;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_ENTRY_HOST_H_
