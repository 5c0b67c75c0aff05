#ifndef AUBURNYARD_SRC_DAEMON_SETTINGS_H_
#define AUBURNYARD_SRC_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard {

/// How replicas are chosen and how a target's limits are shared.
enum class SharingPolicy { kRandom, kTwoChoice, kOwner };

std::string_view ToString(SharingPolicy policy);

/// Settings of one entry host. Addresses are IP:port.
struct Settings {
  std::string id;
  std::string domain;
  std::string region;
  std::string ownership_group = "0";
  std::string listen;       ///< callers and operators
  std::string peer_listen;  ///< other entry hosts
  std::string platform;     ///< key-value service
  std::string host_list;
  std::vector<std::string> peers;  ///< peer addresses to start from when the
                                   ///< host list is not available
  std::string fleet_key;
  std::string operator_key;
  SharingPolicy policy = SharingPolicy::kOwner;
  std::uint32_t worker_threads = 2;
  std::uint32_t max_connections = 1024;
  std::uint32_t max_header_bytes = 8 * 1024;
  std::uint32_t max_body_bytes = 64 * 1024;
  std::chrono::milliseconds read_timeout{10'000};
  std::chrono::milliseconds balancer_lag{
      2'000};  ///< accept requests this long after becoming not ready
  std::chrono::milliseconds shutdown_timeout{
      30'000};  ///< give up on running requests after this time
  std::string log_level = "info";
};

/// Parses JSON with comments. Throws Error(kBadSettings) that names the line or
/// the member and what was expected.
Settings ParseSettings(std::string_view text);
/// Reads and parses a file. Error messages start with the file name.
Settings LoadSettings(const std::string& path);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_SETTINGS_H_
