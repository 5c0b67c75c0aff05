#ifndef AUBURNYARD_UTIL_RELAY_SOAK_SOAK_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_SOAK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "util/relay_soak/configuration_check.h"
#include "util/relay_soak/soak_caller.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

struct SoakOptions {
  std::string program_directory;
  std::uint64_t seed = 1;
  std::chrono::seconds duration{20};
  std::size_t hosts_per_domain = 1;
  std::size_t extra_hosts = 0;  ///< in the first domain
  std::uint16_t base_port = 26'000;
  std::string log_directory;  ///< of the hosts; empty: logs are not kept
};

/// Runs entry hosts under random faults and checks their guarantees from the
/// answers to callers and the executions at targets.
class Soak {
 public:
  explicit Soak(SoakOptions options);

  /// Violations found, empty if none.
  std::vector<std::string> Run();
  std::uint64_t requests() const { return this->request_count; }
  /// Requests that showed the configuration in force at a host in touch.
  std::uint64_t judged() const { return this->configuration.judged(); }
  const std::map<std::string, int>& faults() const {
    return this->fault_counts;
  }

 private:
  void InjectFaults();
  /// Injects faults that follow each other closely.
  void InjectSeries();
  void InjectRandomFault();
  void InjectHostFault();
  void InjectStoreFault();
  void LoseAnswersBriefly();
  void SetStoreFault(StoreFault fault);
  void SetStoreRoute(std::size_t domain, RouteState state);
  void InjectTargetFault();
  void InjectStoreEntry();
  void EndEvacuations();
  void ChangeConfiguration();
  /// Writes versions at random intervals until the faults have ended.
  void ChangeContinuously();
  void StartHost(std::size_t host);
  /// Asks a host to stop and goes on.
  void BeginStop(std::size_t host);
  /// Waits until the hosts that were asked to stop have ended.
  void FinishStops();
  /// Checks that no host has ended by itself.
  void CheckProcesses();
  void ClearFaults();
  void Call(std::size_t caller);
  /// Checks the configuration that a host has in force.
  void ProbeHost(std::size_t host);
  void CheckRecovery();
  /// Whether the host serves all parts with the newest configuration.
  bool HasRecovered(SoakCaller& caller, std::size_t host, int round);
  void CheckExecutions();
  /// Checks that the limit of the account held in every window and that no
  /// target received its key.
  void CheckAccount();
  /// Checks that targets which announced that they leave got nothing more.
  void CheckLeavingTargets();
  void CallAsAccount();
  /// Sends requests whose end is in doubt.
  void CallInDoubt();
  void AddViolation(std::string text);
  std::size_t Pick(std::size_t count);

  SoakOptions options;
  std::mt19937_64 random;
  RelayFleet fleet;
  ConfigurationCheck configuration;
  std::atomic<bool> faults_ended{false};
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> request_count{0};
  std::map<std::string, int> fault_counts;
  std::vector<std::size_t> paused_hosts;  // hosts under SIGSTOP
  std::set<std::size_t> stopping_hosts;   // after SIGTERM
  std::mutex mutex;
  std::vector<std::string> violations;
  std::map<std::string, int> statuses;  // of non-idempotent requests
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_SOAK_H_
