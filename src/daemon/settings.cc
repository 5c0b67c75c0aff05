#include "src/daemon/settings.h"

#include <array>
#include <fstream>
#include <sstream>

#include "src/core/json_reader.h"
#include "src/net/address_member.h"
#include "src/net/http_client.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, 3> kPolicies = {"random", "two_choice",
                                                       "owner"};
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warn",
                                                        "error"};
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::uint32_t kMaxThreads = 64;
constexpr std::uint32_t kMaxConnections = 65'535;
constexpr std::uint32_t kMinHeaderBytes = 256;
constexpr std::uint32_t kMaxBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxMs = 600'000;

std::string Key(const detail::JsonReader& reader, std::string_view name) {
  std::string key = reader.String(name);
  if (key.size() < kMinKeyBytes) {
    throw Error(ErrorKind::kBadSettings,
                reader.PathOf(name) + ": expected at least " +
                    std::to_string(kMinKeyBytes) + " characters");
  }
  return key;
}

template <std::size_t Count>
std::size_t Choice(const detail::JsonReader& reader,
                   std::string_view name,
                   const std::array<std::string_view, Count>& choices,
                   std::string_view fallback) {
  const std::string value = reader.String(name, fallback);
  std::string expected;
  for (std::size_t i = 0; i < Count; ++i) {
    if (choices.at(i) == value) {
      return i;
    }
    expected += (i == 0 ? "\"" : ", \"") + std::string(choices.at(i)) + "\"";
  }
  throw Error(ErrorKind::kBadSettings,
              reader.PathOf(name) + ": expected one of " + expected);
}

std::uint32_t Count(const detail::JsonReader& reader,
                    std::string_view name,
                    std::uint32_t low,
                    std::uint32_t high,
                    std::uint32_t fallback) {
  return static_cast<std::uint32_t>(reader.Integer(name, low, high, fallback));
}

std::chrono::milliseconds Milliseconds(const detail::JsonReader& reader,
                                       std::string_view name,
                                       std::uint32_t low,
                                       std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(reader.Integer(
      name, low, kMaxMs, static_cast<std::uint64_t>(fallback.count())));
}

std::string NonEmpty(const detail::JsonReader& reader, std::string_view name) {
  std::string value = reader.String(name);
  if (value.empty()) {
    throw Error(ErrorKind::kBadSettings,
                reader.PathOf(name) + ": expected a non-empty string");
  }
  return value;
}

std::vector<std::string> PeerAddresses(const detail::JsonReader& reader) {
  std::vector<std::string> peers;
  if (!reader.Has("peers")) {
    return peers;
  }
  for (const boost::json::value& peer : reader.Array("peers")) {
    if (!peer.is_string()) {
      throw Error(ErrorKind::kBadSettings,
                  "peers: expected an array of IP:port");
    }
    peers.emplace_back(peer.get_string());
    try {
      ParseHostPort(peers.back());
    } catch (const Error&) {
      throw Error(
          ErrorKind::kBadSettings,
          "peers[" + std::to_string(peers.size() - 1) + "]: expected IP:port");
    }
  }
  return peers;
}

}  // namespace

std::string_view ToString(SharingPolicy policy) {
  return kPolicies.at(static_cast<std::size_t>(policy));
}

Settings ParseSettings(std::string_view text) {
  const boost::json::value document =
      detail::ParseJson(text, ErrorKind::kBadSettings, /*comments=*/true);
  const detail::JsonReader reader(document, "", ErrorKind::kBadSettings);
  reader.AllowOnly({"id",
                    "domain",
                    "region",
                    "ownership_group",
                    "listen",
                    "peer_listen",
                    "platform",
                    "host_list",
                    "peers",
                    "fleet_key",
                    "operator_key",
                    "policy",
                    "worker_threads",
                    "max_connections",
                    "max_header_bytes",
                    "max_body_bytes",
                    "read_timeout_ms",
                    "balancer_lag_ms",
                    "shutdown_timeout_ms",
                    "log_level"});
  Settings settings;
  settings.id = NonEmpty(reader, "id");
  settings.domain = NonEmpty(reader, "domain");
  settings.region = reader.String("region", "");
  settings.ownership_group =
      reader.String("ownership_group", settings.ownership_group);
  settings.listen = ReadAddress(reader, "listen");
  settings.peer_listen = ReadAddress(reader, "peer_listen");
  settings.platform = ReadAddress(reader, "platform");
  settings.host_list = ReadAddress(reader, "host_list");
  settings.peers = PeerAddresses(reader);
  settings.fleet_key = Key(reader, "fleet_key");
  settings.operator_key = Key(reader, "operator_key");
  settings.policy = static_cast<SharingPolicy>(
      Choice(reader, "policy", kPolicies, ToString(settings.policy)));
  settings.worker_threads =
      Count(reader, "worker_threads", 1, kMaxThreads, settings.worker_threads);
  settings.max_connections = Count(reader, "max_connections", 1,
                                   kMaxConnections, settings.max_connections);
  settings.max_header_bytes = Count(reader, "max_header_bytes", kMinHeaderBytes,
                                    kMaxBytes, settings.max_header_bytes);
  settings.max_body_bytes =
      Count(reader, "max_body_bytes", 1, kMaxBytes, settings.max_body_bytes);
  settings.read_timeout =
      Milliseconds(reader, "read_timeout_ms", 1, settings.read_timeout);
  settings.balancer_lag =
      Milliseconds(reader, "balancer_lag_ms", 0, settings.balancer_lag);
  settings.shutdown_timeout =
      Milliseconds(reader, "shutdown_timeout_ms", 1, settings.shutdown_timeout);
  settings.log_level = kLogLevels.at(
      Choice(reader, "log_level", kLogLevels, settings.log_level));
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw Error(ErrorKind::kBadSettings, path + ": cannot be read");
  }
  try {
    return ParseSettings(text.str());
  } catch (const Error& error) {
    throw Error(error.kind(), path + ": " + error.what());
  }
}

}  // namespace auburnyard
