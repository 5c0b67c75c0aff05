#ifndef AUBURNYARD_SRC_RELAY_RELAY_HOST_H_
#define AUBURNYARD_SRC_RELAY_RELAY_HOST_H_

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/registration_choice.h"
#include "auburnyard/shutdown_schedule.h"
#include "src/net/http_server.h"
#include "src/relay/caller_server.h"
#include "src/relay/log_limiter.h"
#include "src/relay/quota_client.h"
#include "src/relay/quota_server.h"
#include "src/relay/relay_settings.h"
#include "src/relay/rollout_writer.h"
#include "src/relay/store_follower.h"
#include "src/relay/store_registration.h"

namespace auburnyard {

/// Wire formats and store layout of a deployment, supplied by its adapter.
struct RelayAdapter {
  RelayCodec codec;
  StoreCodec store;
  StoreSchema schema;
};

/// An entry host that relays requests. One thread does all work: hosts have a
/// share of one core, and a hand-over between threads costs more than most of
/// the steps it would separate.
class RelayHost {
 public:
  RelayHost(RelaySettings settings, std::string path, RelayAdapter adapter);

  /// Serves until SIGTERM or SIGINT and a graceful shutdown.
  void Run();

 private:
  MemoryBudget::Hooks MemoryHooks();
  CallerServer::Hooks ServerHooks(bool for_peers);
  void ListenForHealth();
  HostEntry OwnEntry() const;
  /// Upper bound of the number of hosts that do not connect to targets.
  std::size_t MaxOtherHosts() const;
  /// Enforces limits of accounts if the settings specify it.
  void EnforceAccountLimits();
  /// Updates the number of hosts that share the burst of repeats.
  void UpdateBurstDivision();
  /// Registers this host in the store once other hosts need its address.
  void UpdateRegistration();
  void Register();
  void StartRollouts();
  void WaitForSignal();
  void OnTerminate();
  void OnReload();
  void Sweep();
  bool draining() const { return this->shutdown.has_value(); }
  void CheckDrained();
  void Finish();

  RelaySettings settings;
  std::string settings_path;
  RelayAdapter adapter;
  MemoryBudget memory;  // before `io`, whose operations hold connections
  // Used by a single thread, so its locks are disabled.
  boost::asio::io_context io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
  Clock clock;
  RelayContext context;
  RelayMetrics metrics;
  HostTable hosts;
  RolloutTable rollouts;
  TargetTable targets;
  PeerTable peers;
  RelayService service;
  StoreFollower follower;
  CallerServer callers;
  CallerServer peer_server;
  RegistrationChoice registration_choice;
  std::shared_ptr<StoreRegistration> registration;
  std::shared_ptr<QuotaServer> quota_server;  // null: limits are not enforced
  std::shared_ptr<QuotaClient> quota_client;
  std::shared_ptr<RolloutWriter> rollout_writer;
  std::shared_ptr<HttpServer> readiness;
  std::shared_ptr<HttpServer> metrics_server;
  boost::asio::signal_set signals;
  boost::asio::steady_timer timer;
  bool was_ready = false;
  std::optional<ShutdownSchedule> shutdown;  // once it has begun
  TimePoint next_burst_division{};
  LogLimiter eviction_lines;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_HOST_H_
