#ifndef AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_FLEET_H_
#define AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_FLEET_H_

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "src/net/http_client.h"
#include "util/experiment/child_process.h"
#include "util/relay_standin/flood_target.h"
#include "util/relay_standin/relay_target.h"
#include "util/relay_standin/store_standin.h"
#include "util/tcp_forwarder/route.h"

namespace auburnyard::util {

/// Entry hosts as separate processes on loopback, with stand-ins for the store
/// and the targets in this process. Three failure domains in three regions;
/// service "s<i>" has two targets in neighbouring domains. Route /all/ fans out
/// to all of them, route /one/ goes to "s0" and is not idempotent. Odd versions
/// of the routes have a route /all/short/ with fewer records below /all/. Each
/// Route /account/ goes to "s1" and needs the key of the only account; all
/// other routes need none. Each version moves the route /moved/ to the next
/// service, adds the route /v<version>/ and drops that of kMarkVersions
/// versions before.
class RelayFleet {
 public:
  struct Options {
    std::string program_directory;  ///< contains auburnyardd
    std::uint16_t base_port = 24'000;
    std::size_t hosts_per_domain = 1;
    /// Further hosts in the first domain.
    std::size_t extra_hosts = 0;
    std::size_t services = 6;
    /// Time within which a configuration must be in force.
    std::chrono::milliseconds change_limit{3'000};
    /// Receives the logs of the hosts; empty: they are deleted at the end.
    std::filesystem::path log_directory;
    /// Timeout of all routes.
    std::chrono::milliseconds route_timeout{2'000};
    /// Memory of each host; 0: not stated.
    std::size_t memory_mb = 0;
  };

  explicit RelayFleet(Options options);
  ~RelayFleet();
  RelayFleet(const RelayFleet&) = delete;
  RelayFleet& operator=(const RelayFleet&) = delete;

  std::size_t hosts() const { return this->processes.size(); }
  void StartHost(std::size_t host);
  /// Kills the process if it is running.
  void KillHost(std::size_t host) { this->processes.at(host).reset(); }
  /// Sends a signal to a running host.
  void SignalHost(std::size_t host, int number) const;
  bool WaitForExit(std::size_t host);
  /// Whether the process of a running host has ended.
  bool HasExited(std::size_t host) {
    return this->processes.at(host)->HasExited();
  }
  /// CPU time used. The host must be running.
  std::chrono::milliseconds ProcessorTime(std::size_t host) const {
    return this->processes.at(host)->ProcessorTime();
  }
  /// Peak of the resident memory in bytes. The host must be running.
  std::size_t PeakMemory(std::size_t host) const {
    return this->processes.at(host)->PeakMemory();
  }
  /// Replaces all targets of a service by ones that answer with bytes without
  /// end.
  void FloodService(std::size_t service, FloodShape shape, std::size_t count);
  /// Ends the flood and registers the usual targets again.
  void EndFlood();
  bool running(std::size_t host) const {
    return this->processes.at(host) != nullptr;
  }
  std::string Address(std::size_t host) const;
  /// Failure domain of a host.
  std::size_t DomainIndex(std::size_t host) const {
    return host < kDomains * this->options.hosts_per_domain ? host % kDomains
                                                            : 0;
  }
  bool Ready(std::size_t host) const;
  /// Metrics of a running host, as text.
  std::string Metrics(std::size_t host) const;
  /// What the host has logged since its last start.
  std::string Log(std::size_t host) const;

  /// Writes a configuration to the store.
  void PutRoutes(std::uint64_t version);
  void Register(std::size_t target, bool draining = false);
  void Unregister(std::size_t target);
  /// Writes or removes the evacuation of a domain.
  void Evacuate(std::size_t domain, bool evacuated);
  /// All records of the route /all/, merged.
  std::string MergedRecords() const;

  /// Time-out of the routes /moved/ and /v<version>/, shorter than that of
  /// their callers.
  static constexpr std::chrono::milliseconds kProbeTimeout{1'000};
  /// Number of versions that have a route /v<version>/.
  static constexpr std::uint64_t kMarkVersions = 3;
  /// Target index whose record a version's route /moved/ returns.
  std::size_t MovedTarget(std::uint64_t version) const;
  /// Whether a version has the route /v<mark>/.
  static bool HasMark(std::uint64_t version, std::uint64_t mark) {
    return mark > 0 && mark <= version && mark + kMarkVersions > version;
  }

  /// The account, its key, and its limit for all hosts together.
  static constexpr std::string_view kAccount = "fleet-account";
  static constexpr std::string_view kKey = "fleet-secret-key";
  static constexpr double kAccountRate = 8;
  static constexpr double kAccountBurst = 8;
  static constexpr std::chrono::seconds kLimitWindow{5};
  static constexpr double kLimitExcess = 0.1;
  static constexpr double kLimitMargin = 20;
  /// Most executions for the account in any window of kLimitWindow.
  std::size_t MaxAccountRuns() const;

  /// Maximum number of records of /all/ and of /all/short/.
  static constexpr std::size_t kTopRecords = 64;
  static constexpr std::size_t kShortTopRecords = 2;

  HttpResponse Get(std::size_t host,
                   const std::string& path,
                   const std::string& request_id,
                   std::chrono::milliseconds deadline,
                   std::string_view key = "") const;

  /// Sets the state of the connections between the hosts of a domain and the
  /// store, or of those to a target.
  void SetStoreRoute(std::size_t domain, RouteState state);
  void SetTargetRoute(std::size_t target, RouteState state, Duration delay);

  static constexpr std::size_t kDomains = 3;

  StoreStandin& store() { return *this->store_standin; }
  RelayTarget& target(std::size_t index) { return *this->targets.at(index); }
  std::size_t target_count() const { return this->targets.size(); }

 private:
  std::shared_ptr<Route> Forward(const std::string& server);
  std::uint16_t Port(std::size_t host, std::size_t kind) const;
  std::string WriteSettings(std::size_t host) const;
  static std::string DomainOf(std::size_t index);

  Options options;
  std::filesystem::path directory;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::unique_ptr<StoreStandin> store_standin;
  std::vector<std::unique_ptr<RelayTarget>> targets;
  std::vector<std::unique_ptr<FloodTarget>> flood_targets;
  std::size_t flooded_service = 0;
  std::vector<std::shared_ptr<Route>> store_routes;   // by domain
  std::vector<std::shared_ptr<Route>> target_routes;  // by target
  std::vector<std::unique_ptr<ChildProcess>> processes;
  std::jthread thread;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_FLEET_H_
