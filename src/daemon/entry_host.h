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
#include "src/daemon/configuration_poller.h"
#include "src/daemon/front.h"
#include "src/daemon/gate_table.h"
#include "src/daemon/router.h"
#include "src/daemon/settings.h"
#include "src/net/http_server.h"

namespace auburnyard {

/// One running entry host: all parts of the daemon and their wiring.
class EntryHost {
 public:
  explicit EntryHost(Settings settings);

  /// Serves until a graceful shutdown has finished. Throws Error if an address
  /// cannot be bound.
  void Run();

 private:
  void AddRoutes();
  void HandleQuery(const HttpRequest& request, const HttpResponder& respond);
  QueryHooks MakeQueryHooks();
  GateLimits LimitsOf(const TargetConfig& target) const;
  std::vector<std::string> OrderReplicas(
      const Shard& shard,
      const std::vector<std::string>& tried) const;
  void WaitForSignal();
  void BeginShutdown();
  void FinishWhenIdle();
  bool Ready() const;

  Settings settings;
  Clock clock;
  boost::asio::io_context context;
  boost::asio::signal_set signals;
  boost::asio::steady_timer shutdown_timer;
  TimePoint shutdown_deadline;
  std::shared_ptr<ConfigurationPoller> configuration;
  GateTable gates;
  Front front;
  Router router;
  std::shared_ptr<HttpServer> server;
  std::shared_ptr<PeriodicTask> gate_timer;
  std::atomic<bool> draining{false};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_ENTRY_HOST_H_
