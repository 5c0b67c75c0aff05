#include "auburnyard/configuration.h"

#include <algorithm>
#include <array>
#include <limits>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, kPriorityClassCount> kPriorityNames = {
    "urgent", "normal", "archive"};
constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kMaxWarmAfter = 1'000'000;
constexpr std::uint32_t kMaxConnections = 65'535;
constexpr std::uint32_t kMaxDelayMs = 60'000;

bool ParseInState(const detail::JsonReader& reader, std::string_view other) {
  const std::string state = reader.String("state", "in");
  if (state != "in" && state != other) {
    throw Error(ErrorKind::kBadRequest, reader.PathOf("state") +
                                            ": expected \"in\" or \"" +
                                            std::string(other) + "\"");
  }
  return state == "in";
}

DomainConfig ParseDomain(const detail::JsonReader& reader) {
  reader.AllowOnly({"region", "state"});
  return {.region = reader.String("region", ""),
          .in_service = ParseInState(reader, "out")};
}

TargetConfig ParseTarget(std::string id, const detail::JsonReader& reader) {
  reader.AllowOnly({"address", "domain", "slots", "connections",
                    "connection_cost_ms", "cold_limit", "warm_after", "state"});
  TargetConfig target;
  target.id = std::move(id);
  const std::string address = reader.String("address");
  const std::size_t colon = address.rfind(':');
  const std::string port =
      colon == std::string::npos ? "" : address.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) == 0 ||
      std::stoul(port) > std::numeric_limits<std::uint16_t>::max()) {
    throw Error(ErrorKind::kBadRequest,
                reader.PathOf("address") + ": expected IP:port");
  }
  target.host = address.substr(0, colon);
  target.port = static_cast<std::uint16_t>(std::stoul(port));
  target.domain = reader.String("domain");
  target.slots =
      static_cast<std::uint32_t>(reader.Integer("slots", 1, kMaxSlots));
  target.connections = static_cast<std::uint32_t>(
      reader.Integer("connections", 1, kMaxConnections, target.slots));
  target.cold_limit =
      static_cast<std::uint32_t>(reader.Integer("cold_limit", 0, kMaxSlots, 1));
  target.warm_after = static_cast<std::uint32_t>(
      reader.Integer("warm_after", 0, kMaxWarmAfter, target.warm_after));
  target.connection_cost = std::chrono::milliseconds(
      reader.Integer("connection_cost_ms", 0, kMaxDelayMs, 0));
  target.leaving = !ParseInState(reader, "leaving");
  return target;
}

ServiceConfig ParseService(const detail::JsonReader& reader) {
  reader.AllowOnly({"class_order", "retry_budget", "hedge_budget",
                    "early_answer", "min_coverage", "hedge_delay_ms"});
  const ServiceConfig defaults;
  ServiceConfig service;
  if (reader.Has("class_order")) {
    service.class_order = ParseClassOrder(reader.Array("class_order"),
                                          reader.PathOf("class_order"));
  }
  service.retry_budget =
      reader.Number("retry_budget", 0, 1, defaults.retry_budget);
  service.hedge_budget =
      reader.Number("hedge_budget", 0, 1, defaults.hedge_budget);
  service.early_answer = reader.Boolean("early_answer", defaults.early_answer);
  service.min_coverage =
      reader.Number("min_coverage", 0, 1, defaults.min_coverage);
  service.hedge_delay = std::chrono::milliseconds(
      reader.Integer("hedge_delay_ms", 0, kMaxDelayMs, 0));
  return service;
}

// Members with default values are omitted: with 7,400 targets the document
// would otherwise exceed the 1 MB limit that the platform's service has for a
// value.
boost::json::object ToJson(const TargetConfig& target) {
  const TargetConfig defaults;
  boost::json::object object{
      {"address", target.host + ":" + std::to_string(target.port)},
      {"domain", target.domain},
      {"slots", target.slots}};
  if (target.connections != target.slots) {
    object["connections"] = target.connections;
  }
  if (target.connection_cost != defaults.connection_cost) {
    object["connection_cost_ms"] = target.connection_cost.count();
  }
  if (target.warm_after != defaults.warm_after) {
    object["warm_after"] = target.warm_after;
  }
  if (target.cold_limit != defaults.cold_limit) {
    object["cold_limit"] = target.cold_limit;
  }
  if (target.leaving) {
    object["state"] = "leaving";
  }
  return object;
}

boost::json::object ToJson(const ServiceConfig& service) {
  return {{"class_order", ToJson(service.class_order)},
          {"retry_budget", service.retry_budget},
          {"hedge_budget", service.hedge_budget},
          {"early_answer", service.early_answer},
          {"min_coverage", service.min_coverage},
          {"hedge_delay_ms", service.hedge_delay.count()}};
}

}  // namespace

std::string_view ToString(PriorityClass priority) {
  return kPriorityNames.at(static_cast<std::size_t>(priority));
}

PriorityClass ParsePriorityClass(std::string_view name) {
  for (std::size_t i = 0; i < kPriorityNames.size(); ++i) {
    if (kPriorityNames.at(i) == name) {
      return static_cast<PriorityClass>(i);
    }
  }
  throw Error(ErrorKind::kBadRequest,
              "class: expected \"urgent\", \"normal\" or \"archive\"");
}

ClassOrder ParseClassOrder(const boost::json::array& names,
                           const std::string& path) {
  ClassOrder order = kDefaultClassOrder;
  std::size_t count = 0;
  for (const boost::json::value& name : names) {
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    if (count == order.size() || !name.is_string()) {
      count = 0;
      break;
    }
    const PriorityClass priority = ParsePriorityClass(name.get_string());
    if (std::find(order.begin(), end, priority) != end) {
      count = 0;
      break;
    }
    order.at(count++) = priority;
  }
  if (count != order.size()) {
    throw Error(ErrorKind::kBadRequest,
                path + ": expected each priority class once");
  }
  return order;
}

boost::json::array ToJson(const ClassOrder& order) {
  boost::json::array names;
  for (const PriorityClass priority : order) {
    names.emplace_back(ToString(priority));
  }
  return names;
}

Configuration ParseConfiguration(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly(
      {"revision", "nonce", "domains", "targets", "services", "intents"});
  Configuration configuration;
  configuration.revision = reader.Integer("revision", 1, kMaxRevision);
  configuration.nonce = reader.String("nonce", "");
  for (const auto& member : reader.Object("domains")) {
    const std::string name(member.key());
    configuration.domains.emplace(
        name, ParseDomain(detail::JsonReader(member.value(), "domains." + name,
                                             ErrorKind::kBadRequest)));
  }
  for (const auto& member : reader.Object("targets")) {
    const std::string name(member.key());
    TargetConfig target =
        ParseTarget(name, detail::JsonReader(member.value(), "targets." + name,
                                             ErrorKind::kBadRequest));
    if (!configuration.domains.contains(target.domain)) {
      throw Error(ErrorKind::kBadRequest,
                  "targets." + name + ".domain: unknown failure domain");
    }
    configuration.targets.emplace(name, std::move(target));
  }
  for (const auto& member : reader.Object("services")) {
    const std::string name(member.key());
    configuration.services.emplace(
        name, ParseService(detail::JsonReader(
                  member.value(), "services." + name, ErrorKind::kBadRequest)));
  }
  if (reader.Has("intents")) {
    configuration.intents = reader.Object("intents");
  }
  return configuration;
}

std::string SerializeConfiguration(const Configuration& configuration) {
  boost::json::object domains;
  for (const auto& [name, domain] : configuration.domains) {
    domains[name] = {{"region", domain.region},
                     {"state", domain.in_service ? "in" : "out"}};
  }
  boost::json::object targets;
  for (const auto& [name, target] : configuration.targets) {
    targets[name] = ToJson(target);
  }
  boost::json::object services;
  for (const auto& [name, service] : configuration.services) {
    services[name] = ToJson(service);
  }
  return boost::json::serialize(
      boost::json::object{{"revision", configuration.revision},
                          {"nonce", configuration.nonce},
                          {"domains", std::move(domains)},
                          {"targets", std::move(targets)},
                          {"services", std::move(services)},
                          {"intents", configuration.intents}});
}

}  // namespace auburnyard
