#include "src/relay/relay_settings.h"

#include <fstream>
#include <sstream>

#include "src/core/json_reader.h"
#include "src/net/address_member.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kMaxSeconds = 3'600;
constexpr double kMaxRatio = 10;
constexpr double kMaxBurst = 1'000'000;
constexpr double kMaxCores = 1'024;
constexpr std::uint64_t kMaxMemoryMb = 16 * 1'024 * 1'024;
constexpr std::uint64_t kMaxPort = 65'535;

std::chrono::seconds Seconds(const detail::JsonReader& reader,
                             std::string_view name) {
  return std::chrono::seconds(reader.Integer(name, 1, kMaxSeconds));
}

AccountSettings ParseAccounts(const detail::JsonReader& reader) {
  reader.AllowOnly(
      {"window_s", "excess", "margin", "revoke_on_partition", "revoke_ms"});
  AccountSettings accounts;
  if (reader.Has("window_s")) {
    accounts.limit_window = Seconds(reader, "window_s");
  }
  accounts.limit_excess = reader.Number("excess", 0, kMaxRatio, 0);
  accounts.limit_margin = reader.Number("margin", 0, kMaxBurst, 0);
  accounts.revoke_on_partition = reader.Boolean("revoke_on_partition", false);
  accounts.revocation_limit = std::chrono::milliseconds(
      reader.Integer("revoke_ms", 0, kMaxSeconds * 1'000, 0));
  return accounts;
}

AdmissionMode ParseAdmission(std::string_view text) {
  if (text == "automatic") {
    return AdmissionMode::kAutomatic;
  }
  if (text == "always") {
    return AdmissionMode::kAlways;
  }
  if (text == "never") {
    return AdmissionMode::kNever;
  }
  throw Error(ErrorKind::kBadSettings,
              "admission: expected automatic, always or never");
}

RolloutLimits ParseRollouts(const detail::JsonReader& reader) {
  reader.AllowOnly({"exposure_share", "exposure_margin", "rollback_ms"});
  RolloutLimits limits;
  limits.exposure_share = reader.Number("exposure_share", 0, 1, 0);
  limits.exposure_margin = reader.Number("exposure_margin", 0, kMaxBurst, 0);
  limits.rollback_time = std::chrono::milliseconds(
      reader.Integer("rollback_ms", 0, kMaxSeconds * 1'000, 0));
  return limits;
}

}  // namespace

RelaySettings ParseRelaySettings(std::string_view text) {
  const boost::json::value document =
      detail::ParseJson(text, ErrorKind::kBadSettings, /*comments=*/true);
  const detail::JsonReader reader(document, "", ErrorKind::kBadSettings);
  reader.AllowOnly({"host", "failure_domain", "region", "domain_regions",
                    "listen", "store", "shutdown_time_s", "repeats",
                    "cold_targets", "accounts", "admission", "rollouts",
                    "cores", "memory_mb", "log_level"});
  RelaySettings settings;
  settings.host_name = reader.String("host");
  settings.failure_domain = reader.String("failure_domain");
  settings.region = reader.String("region");
  for (const auto& [domain, region] : reader.Object("domain_regions")) {
    if (!region.is_string()) {
      throw Error(ErrorKind::kBadSettings,
                  "domain_regions." + std::string(domain) +
                      ": expected the name of a region");
    }
    settings.domain_regions.emplace(domain, region.as_string());
  }
  settings.cores = reader.Number("cores", 0, kMaxCores, 1);
  settings.memory_mb = reader.Integer("memory_mb", 1, kMaxMemoryMb, 0);
  const detail::JsonReader listen = reader.Child("listen");
  listen.AllowOnly(
      {"callers", "readiness", "peers", "mirror", "accounts", "metrics_port"});
  settings.callers_address = ReadAddress(listen, "callers");
  settings.readiness_address = ReadAddress(listen, "readiness");
  settings.peers_address = ReadAddress(listen, "peers");
  if (listen.Has("mirror")) {
    settings.mirror_address = ReadAddress(listen, "mirror");
  }
  if (listen.Has("accounts")) {
    settings.accounts_address = ReadAddress(listen, "accounts");
  }
  settings.metrics_port = static_cast<std::uint32_t>(
      listen.Integer("metrics_port", 0, kMaxPort, 0));
  const detail::JsonReader store = reader.Child("store");
  store.AllowOnly({"address", "mirrors", "change_limit_ms"});
  settings.change_limit = std::chrono::milliseconds(
      store.Integer("change_limit_ms", 1'000, kMaxSeconds * 1'000, 3'000));
  settings.store_address = ReadAddress(store, "address");
  if (store.Has("mirrors")) {
    settings.mirrors = ReadAddresses(store, "mirrors");
  }
  settings.shutdown_time = Seconds(reader, "shutdown_time_s");
  const detail::JsonReader repeats = reader.Child("repeats");
  repeats.AllowOnly({"ratio", "burst", "window_s"});
  settings.repeat_ratio = repeats.Number("ratio", 0, kMaxRatio, 0);
  settings.repeat_burst = repeats.Number("burst", 0, kMaxBurst, 0);
  settings.repeat_window = Seconds(repeats, "window_s");
  const detail::JsonReader cold = reader.Child("cold_targets");
  cold.AllowOnly({"rate_factor", "rate_margin"});
  settings.cold_rate_factor = cold.Number("rate_factor", 0, kMaxRatio, 1);
  settings.cold_rate_margin = cold.Number("rate_margin", 0, kMaxBurst, 0);
  if (reader.Has("accounts")) {
    settings.accounts = ParseAccounts(reader.Child("accounts"));
  }
  settings.admission = ParseAdmission(reader.String("admission", "automatic"));
  if (reader.Has("rollouts")) {
    settings.rollouts = ParseRollouts(reader.Child("rollouts"));
  }
  settings.log_level = reader.String("log_level", "info");
  return settings;
}

RelaySettings LoadRelaySettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error(ErrorKind::kBadSettings, path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseRelaySettings(text.str());
  } catch (const Error& error) {
    throw Error(error.kind(), path + ": " + error.what());
  }
}

}  // namespace auburnyard
