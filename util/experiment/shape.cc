#include "util/experiment/shape.h"

#include <boost/json/array.hpp>

#include "auburnyard/error.h"

namespace auburnyard::util {

namespace {

constexpr int kDomainCount = 3;
constexpr int kHostsPerDomain = 2;
constexpr std::uint64_t kKeysPerShard = 1000;
constexpr std::uint16_t kHostPortOffset = 20;
constexpr std::uint16_t kTargetPortOffset = 100;

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string DomainName(int index) {
  return "d" + std::to_string(index % kDomainCount + 1);
}

/// Adds targets that copy `kind`, spread over the domains; returns their ids.
std::vector<std::string> AddTargets(Shape& shape,
                                    std::uint16_t base_port,
                                    int count,
                                    const ShapeTarget& kind) {
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::uint16_t>(shape.targets.size());
    ShapeTarget target = kind;
    target.id = kind.id + "-" + std::to_string(i);
    target.domain = DomainName(index);
    target.address = Address(
        static_cast<std::uint16_t>(base_port + kTargetPortOffset + index));
    ids.push_back(target.id);
    shape.targets.push_back(target);
  }
  return ids;
}

void AddPortal(Shape& shape, std::uint16_t base_port) {
  constexpr int kShardCount = 20;
  ShapeService portal{.name = "portal", .shards = {}};
  for (int i = 0; i < kShardCount; ++i) {
    portal.shards.push_back(
        AddTargets(shape, base_port, 2, {.id = "portal-" + std::to_string(i)}));
  }
  shape.services.push_back(std::move(portal));
}

/// Adds a service with one shard per target; each shard is held by two targets.
void AddRing(Shape& shape,
             std::uint16_t base_port,
             int count,
             const ShapeTarget& kind) {
  const std::vector<std::string> ids =
      AddTargets(shape, base_port, count, kind);
  ShapeService service{.name = kind.id, .shards = {}};
  for (std::size_t i = 0; i < ids.size(); ++i) {
    service.shards.push_back({ids[i], ids[(i + 1) % ids.size()]});
  }
  shape.services.push_back(std::move(service));
}

void AddHosts(Shape& shape, std::uint16_t base_port) {
  for (int i = 0; i < kDomainCount * kHostsPerDomain; ++i) {
    const auto port =
        static_cast<std::uint16_t>(base_port + kHostPortOffset + 2 * i);
    const std::string domain = DomainName(i);
    shape.hosts.push_back(
        {.id = "host-" + std::to_string(i),
         .domain = domain,
         .region = shape.domains.at(domain),
         .listen = Address(port),
         .peer_listen = Address(static_cast<std::uint16_t>(port + 1))});
  }
}

}  // namespace

Shape BuildShape(const std::string& name, std::uint16_t base_port) {
  Shape shape;
  shape.name = name;
  shape.early_answer = name == "booking";
  if (name != "booking" && name != "archive") {
    throw Error(ErrorKind::kBadSettings,
                "--shape: expected \"booking\" or \"archive\"");
  }
  for (int i = 0; i < kDomainCount; ++i) {
    shape.domains[DomainName(i)] = "region-" + std::to_string(i + 1);
  }
  AddHosts(shape, base_port);
  AddPortal(shape, base_port);
  if (name == "booking") {
    const ShapeTarget kind{
        .slots = 3, .connections = 100, .connection_cost_ms = 1};
    ShapeTarget history = kind;
    history.id = "history";
    ShapeTarget attendance = kind;
    attendance.id = "attendance";
    AddRing(shape, base_port, 5, history);
    AddRing(shape, base_port, 3, attendance);
  } else {
    for (const char* service : {"desk", "tally"}) {
      AddRing(shape, base_port, 3,
              {.id = service,
               .slots = 6,
               .connections = 50,
               .connection_cost_ms = 1,
               .cold_limit = 2});
    }
  }
  return shape;
}

boost::json::object MakeConfiguration(const Shape& shape,
                                      std::uint64_t revision,
                                      const std::string& out) {
  boost::json::object domains;
  for (const auto& [name, region] : shape.domains) {
    domains[name] = {{"region", region}, {"state", name == out ? "out" : "in"}};
  }
  boost::json::object targets;
  for (const ShapeTarget& target : shape.targets) {
    targets[target.id] = {{"address", target.address},
                          {"domain", target.domain},
                          {"slots", target.slots},
                          {"connections", target.connections},
                          {"connection_cost_ms", target.connection_cost_ms},
                          {"cold_limit", target.cold_limit},
                          {"state", "in"}};
  }
  boost::json::object services;
  for (const ShapeService& service : shape.services) {
    services[service.name] = {{"retry_budget", 0.1},
                              {"hedge_budget", 0.05},
                              {"early_answer", shape.early_answer},
                              {"min_coverage", 0.0},
                              {"hedge_delay_ms", shape.hedge_delay_ms}};
  }
  return {{"revision", revision},
          {"nonce", "experiment-" + std::to_string(revision)},
          {"domains", std::move(domains)},
          {"targets", std::move(targets)},
          {"services", std::move(services)},
          {"intents", boost::json::object{}}};
}

boost::json::object MakeCatalog(const ShapeService& service) {
  boost::json::array shards;
  for (const auto& targets : service.shards) {
    const std::uint64_t begin = shards.size() * kKeysPerShard;
    shards.push_back(
        {{"id", std::to_string(shards.size())},
         {"begin", begin},
         {"end", begin + kKeysPerShard},
         {"targets", boost::json::array(targets.begin(), targets.end())}});
  }
  return {{"service", service.name},
          {"revision", 1},
          {"snapshot", "s1"},
          {"shards", std::move(shards)}};
}

boost::json::object MakeTargetsFile(const Shape& shape,
                                    double median_ms,
                                    std::uint64_t seed) {
  boost::json::array targets;
  for (const ShapeTarget& target : shape.targets) {
    targets.push_back({{"id", target.id},
                       {"address", target.address},
                       {"domain", target.domain},
                       {"slots", target.slots},
                       {"connections", target.connections},
                       {"connection_cost_ms", target.connection_cost_ms},
                       {"cold_limit", target.cold_limit},
                       {"start_cold", false},
                       {"median_ms", median_ms},
                       {"seed", seed * 1000 + targets.size()}});
  }
  return {{"targets", std::move(targets)}};
}

}  // namespace auburnyard::util
