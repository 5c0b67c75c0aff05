#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_OPTIONS_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::detail {
class JsonReader;
}

namespace auburnyard::util {

/// Latency of executions: lognormal, with a share of slow outliers.
struct LatencyOptions {
  double median_ms = 5.0;
  double sigma = 0.25;      ///< standard deviation of the logarithm
  double slow_share = 0.0;  ///< share of slow executions
  double slow_factor = 10.0;
};

/// One simulated target.
struct TargetOptions {
  std::string id;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string domain;
  std::uint32_t slots = 2;
  std::uint32_t queue_length = 8;
  std::uint32_t connections = 25;
  std::chrono::milliseconds connection_cost{0};
  std::uint32_t cold_limit = 1;
  std::uint32_t warm_after = 10;  ///< completions until the target is warm
  double cold_penalty = 20.0;     ///< latency factor above the cold limit
  bool start_cold = true;
  LatencyOptions latency;
  std::vector<std::string> snapshots = {"s1"};  ///< the last is the current one
  std::uint64_t seed = 1;
};

/// Reads "median_ms", "sigma", "slow_share" and "slow_factor"; absent members
/// keep the value of `latency`.
LatencyOptions ParseLatency(const detail::JsonReader& reader,
                            LatencyOptions latency);
/// Parses {"targets": [{"id", "address", ...}]} with comments. Throws
/// Error(kBadSettings).
std::vector<TargetOptions> ParseTargetFile(std::string_view json);
/// Parses "id=...,address=...,slots=...", with the member names of the file.
TargetOptions ParseTargetOption(std::string_view text);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_OPTIONS_H_
