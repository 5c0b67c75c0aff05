#ifndef AUBURNYARD_SRC_RELAY_RELAY_SETTINGS_H_
#define AUBURNYARD_SRC_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/rollout.h"

namespace auburnyard {

/// Handling of client accounts, where the configuration has some.
struct AccountSettings {
  /// Window in which limits hold; zero: limits are not enforced.
  std::chrono::seconds limit_window{0};
  double limit_excess = 0;  ///< share by which a limit may be exceeded
  double limit_margin = 0;  ///< requests per window beyond that
  /// A host whose store data is older than `revocation_limit` accepts no keys.
  bool revoke_on_partition = false;
  std::chrono::milliseconds revocation_limit{0};
};

/// Whether requests are refused that cannot be answered in time.
enum class AdmissionMode {
  kAutomatic,  ///< where targets report their speed
  kAlways,
  kNever,
};

/// Settings of an entry host that relays requests. JSON with comments.
struct RelaySettings {
  std::string host_name;
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string, std::less<>> domain_regions;
  double cores = 1;               ///< share of a processor
  std::uint64_t memory_mb = 0;    ///< 0: all memory of the machine
  std::string callers_address;    ///< IP:port
  std::string readiness_address;  ///< IP:port
  std::string peers_address;      ///< IP:port for other entry hosts
  /// IP:port at which other hosts read the copy of the store; may be empty.
  std::string mirror_address;
  std::uint32_t metrics_port = 0;
  std::string store_address;  ///< IP:port
  /// Copies of the store at other hosts, for a start while the store is
  /// unavailable.
  std::vector<std::string> mirrors;
  /// Time within which a change of the store must be in force.
  std::chrono::milliseconds change_limit{3'000};
  std::chrono::seconds shutdown_time{6};
  double repeat_ratio = 0;
  double repeat_burst = 0;
  std::chrono::seconds repeat_window{10};
  double cold_rate_factor =
      1;  ///< factor on the configured rate of a cold target
  double cold_rate_margin = 0;  ///< requests per second added to it
  AccountSettings accounts;
  AdmissionMode admission = AdmissionMode::kAutomatic;
  /// Without it, orders to move services to other versions have no effect.
  RolloutLimits rollouts;
  /// IP:port at which other hosts ask for room of accounts; may be empty.
  std::string accounts_address;
  std::string log_level = "info";
};

/// Throws Error(kBadSettings) with the path of the member.
RelaySettings ParseRelaySettings(std::string_view text);
RelaySettings LoadRelaySettings(const std::string& path);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_SETTINGS_H_
