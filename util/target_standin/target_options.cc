#include "util/target_standin/target_options.h"

#include <limits>

#include <boost/json/object.hpp>

#include "src/core/json_reader.h"
#include "src/net/http_client.h"
#include "util/common/named_values.h"

namespace auburnyard::util {

namespace {

constexpr std::uint32_t kMaxCount = 100'000;
constexpr double kMaxMs = 600'000;
constexpr double kMaxSigma = 10;

std::uint32_t ReadCount(const detail::JsonReader& reader,
                        std::string_view name,
                        std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      reader.Integer(name, 0, kMaxCount, fallback));
}

TargetOptions ParseTarget(const detail::JsonReader& reader) {
  reader.AllowOnly({"id", "address", "domain", "slots", "queue_length",
                    "connections", "connection_cost_ms", "cold_limit",
                    "warm_after", "cold_penalty", "start_cold", "median_ms",
                    "sigma", "slow_share", "slow_factor", "snapshots", "seed"});
  TargetOptions target;
  target.id = reader.String("id");
  const HostPort address = ParseHostPort(reader.String("address"));
  target.host = address.host;
  target.port = address.port;
  target.domain = reader.String("domain", "");
  target.slots = ReadCount(reader, "slots", target.slots);
  target.queue_length = ReadCount(reader, "queue_length", target.queue_length);
  target.connections = ReadCount(reader, "connections", target.connections);
  target.connection_cost =
      std::chrono::milliseconds(ReadCount(reader, "connection_cost_ms", 0));
  target.cold_limit = ReadCount(reader, "cold_limit", target.cold_limit);
  target.warm_after = ReadCount(reader, "warm_after", target.warm_after);
  target.cold_penalty =
      reader.Number("cold_penalty", 1, kMaxMs, target.cold_penalty);
  target.start_cold = reader.Boolean("start_cold", target.start_cold);
  target.latency = ParseLatency(reader, {});
  target.seed = reader.Integer(
      "seed", 0, std::numeric_limits<std::uint64_t>::max(), target.seed);
  if (reader.Has("snapshots")) {
    target.snapshots.clear();
    for (const boost::json::value& snapshot : reader.Array("snapshots")) {
      target.snapshots.emplace_back(snapshot.as_string());
    }
  }
  return target;
}

}  // namespace

LatencyOptions ParseLatency(const detail::JsonReader& reader,
                            LatencyOptions latency) {
  latency.median_ms = reader.Number("median_ms", 0, kMaxMs, latency.median_ms);
  latency.sigma = reader.Number("sigma", 0, kMaxSigma, latency.sigma);
  latency.slow_share = reader.Number("slow_share", 0, 1, latency.slow_share);
  latency.slow_factor =
      reader.Number("slow_factor", 0, kMaxMs, latency.slow_factor);
  return latency;
}

std::vector<TargetOptions> ParseTargetFile(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadSettings, /*comments=*/true);
  const detail::JsonReader reader(document, "", ErrorKind::kBadSettings);
  reader.AllowOnly({"targets"});
  std::vector<TargetOptions> targets;
  for (const boost::json::value& target : reader.Array("targets")) {
    const std::string path = "targets[" + std::to_string(targets.size()) + "]";
    targets.push_back(
        ParseTarget(detail::JsonReader(target, path, ErrorKind::kBadSettings)));
  }
  return targets;
}

TargetOptions ParseTargetOption(std::string_view text) {
  const boost::json::value members =
      ParseNamedValues(text, {"id", "address", "domain"});
  return ParseTarget(
      detail::JsonReader(members, "--target", ErrorKind::kBadSettings));
}

}  // namespace auburnyard::util
