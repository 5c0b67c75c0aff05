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

#include "util/relay_soak/soak_caller.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

struct SoakOptions {
  std::string program_directory;
  std::uint64_t seed = 1;
  std::chrono::seconds duration{20};
  std::size_t hosts_per_domain = 1;
  std::uint16_t base_port = 26'000;
};

/// Runs entry hosts under random faults and checks their guarantees from the
/// answers to callers and the executions at targets.
class Soak {
 public:
  explicit Soak(SoakOptions options);

  /// Violations found, empty if none.
  std::vector<std::string> Run();
  std::uint64_t requests() const { return this->request_count; }
  const std::map<std::string, int>& faults() const {
    return this->fault_counts;
  }

 private:
  void InjectFaults();
  void InjectRandomFault();
  void InjectHostFault();
  void InjectStoreFault();
  void InjectTargetFault();
  void InjectStoreEntry();
  void EndEvacuations();
  void ChangeConfiguration();
  /// Asks a host to stop and goes on.
  void BeginStop(std::size_t host);
  /// Waits until the hosts that were asked to stop have ended.
  void FinishStops();
  /// Checks that no host has ended by itself.
  void CheckProcesses();
  void ClearFaults();
  void Call(std::size_t caller);
  void CheckRecovery();
  void CheckExecutions();
  void AddViolation(std::string text);
  std::size_t Pick(std::size_t count);

  SoakOptions options;
  std::mt19937_64 random;
  RelayFleet fleet;
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> request_count{0};
  std::map<std::string, int> fault_counts;
  std::uint64_t version = 1;
  std::vector<std::size_t> paused_hosts;  // hosts under SIGSTOP
  std::set<std::size_t> stopping_hosts;   // after SIGTERM
  std::mutex mutex;
  std::vector<std::string> violations;
  std::map<std::string, int> statuses;  // of non-idempotent requests
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_SOAK_H_
