#include "util/relay_standin/relay_fleet.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "auburnyard/record_merger.h"
#include "platform/wire_names.h"

namespace auburnyard::util {

namespace {

constexpr std::size_t kReplicas = 2;
constexpr int kTargetLatencyMs = 300;
// Hosts whose mirror addresses are in the settings of every host.
constexpr std::size_t kSeedHosts = 3;
constexpr std::chrono::seconds kReadinessTimeout{2};
// Added to the deadline sent to the entry host.
constexpr std::chrono::seconds kCallTimeoutMargin{4};

boost::json::object RouteObject(std::string_view name,
                                std::string_view kind,
                                std::chrono::milliseconds timeout) {
  return {{"name", name},
          {"host", "fleet.example"},
          {"prefix", "/" + std::string(name) + "/"},
          {"route_type", kind},
          {"timeout_ms", timeout.count()},
          {"target_latency_ms", kTargetLatencyMs},
          {"priority", 1},
          {"max_attempts", 2},
          {"auth_exempt", true},
          {"allowed_regions", boost::json::array()}};
}

boost::json::array Accounts() {
  return {{{"name", RelayFleet::kAccount},
           {"api_keys", {RelayFleet::kKey}},
           {"priority", 1},
           {"rate_per_s", RelayFleet::kAccountRate},
           {"burst", RelayFleet::kAccountBurst},
           {"allowed_regions", boost::json::array()}}};
}

}  // namespace

RelayFleet::RelayFleet(Options fleet_options)
    : options(std::move(fleet_options)),
      directory(std::filesystem::temp_directory_path() /
                ("auburnyard-relay-" + std::to_string(getpid()) + "-" +
                 std::to_string(this->options.base_port))),
      work(boost::asio::make_work_guard(this->io)),
      store_standin(std::make_unique<StoreStandin>(this->io)),
      processes(kDomains * this->options.hosts_per_domain +
                this->options.extra_hosts) {
  std::filesystem::create_directories(this->directory);
  if (!this->options.log_directory.empty()) {
    std::filesystem::create_directories(this->options.log_directory);
  }
  this->store_standin->Listen();
  for (std::size_t i = 0; i < kDomains; ++i) {
    this->store_routes.push_back(this->Forward(this->store_standin->address()));
  }
  for (std::size_t i = 0; i < this->options.services * kReplicas; ++i) {
    const std::size_t service = i / kReplicas;
    auto target = std::make_unique<RelayTarget>(
        this->io, "t" + std::to_string(i), "s" + std::to_string(service),
        DomainOf(service + i % kReplicas));
    target->Listen();
    this->target_routes.push_back(this->Forward(target->address()));
    target->Advertise(this->target_routes.back()->port());
    this->targets.push_back(std::move(target));
    this->Register(i);
  }
  this->PutRoutes(1);
  this->thread = std::jthread([this] { this->io.run(); });
}

RelayFleet::~RelayFleet() {
  this->processes.clear();
  this->io.stop();
  this->thread.join();
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

std::shared_ptr<Route> RelayFleet::Forward(const std::string& server) {
  RouteOptions route;
  route.listen = "127.0.0.1:0";
  route.server = server;
  auto forwarder = std::make_shared<Route>(this->io, route);
  forwarder->Listen();
  return forwarder;
}

void RelayFleet::SetStoreRoute(std::size_t domain, RouteState state) {
  this->store_routes.at(domain)->SetState(state);
}

void RelayFleet::SetTargetRoute(std::size_t target,
                                RouteState state,
                                Duration delay) {
  this->target_routes.at(target)->SetDelays({delay, delay});
  this->target_routes.at(target)->SetState(state);
}

std::string RelayFleet::DomainOf(std::size_t index) {
  return "d" + std::to_string(index % kDomains);
}

std::uint16_t RelayFleet::Port(std::size_t host, std::size_t kind) const {
  constexpr std::size_t kKinds = 6;
  return static_cast<std::uint16_t>(this->options.base_port + host * kKinds +
                                    kind);
}

std::string RelayFleet::Address(std::size_t host) const {
  return "127.0.0.1:" + std::to_string(this->Port(host, 0));
}

std::string RelayFleet::WriteSettings(std::size_t host) const {
  const auto address = [this, host](std::size_t kind) {
    return "127.0.0.1:" + std::to_string(this->Port(host, kind));
  };
  boost::json::object regions;
  for (std::size_t i = 0; i < kDomains; ++i) {
    regions[DomainOf(i)] = "r" + std::to_string(i);
  }
  boost::json::array mirrors;
  for (std::size_t i = 0; i < std::min(kSeedHosts, this->hosts()); ++i) {
    mirrors.emplace_back("127.0.0.1:" + std::to_string(this->Port(i, 3)));
  }
  boost::json::object settings = {
      {"host", "h" + std::to_string(host)},
      {"failure_domain", DomainOf(this->DomainIndex(host))},
      {"region", "r" + std::to_string(this->DomainIndex(host))},
      {"domain_regions", regions},
      {"listen",
       {{"callers", address(0)},
        {"readiness", address(1)},
        {"peers", address(2)},
        {"mirror", address(3)},
        {"accounts", address(4)},
        {"metrics_port", this->Port(host, 5)}}},
      {"store",
       {{"address",
         "127.0.0.1:" +
             std::to_string(
                 this->store_routes.at(this->DomainIndex(host))->port())},
        {"change_limit_ms", this->options.change_limit.count()},
        {"mirrors", std::move(mirrors)}}},
      {"accounts",
       {{"window_s", kLimitWindow.count()},
        {"excess", kLimitExcess},
        {"margin", kLimitMargin}}},
      {"shutdown_time_s", 6},
      {"repeats", {{"ratio", 0.2}, {"burst", 60}, {"window_s", 10}}},
      {"cold_targets", {{"rate_factor", 1.5}, {"rate_margin", 5}}}};
  if (this->options.memory_mb > 0) {
    settings["memory_mb"] = this->options.memory_mb;
  }
  const std::filesystem::path path =
      this->directory / ("h" + std::to_string(host) + ".json");
  std::ofstream(path) << boost::json::serialize(settings);
  return path;
}

void RelayFleet::StartHost(std::size_t host) {
  this->processes.at(host) = std::make_unique<ChildProcess>(
      std::vector<std::string>{this->options.program_directory + "/auburnyardd",
                               "--relay", this->WriteSettings(host)},
      (this->options.log_directory.empty() ? this->directory
                                           : this->options.log_directory) /
          ("h" + std::to_string(host) + ".log"));
}

void RelayFleet::SignalHost(std::size_t host, int number) const {
  if (this->processes.at(host) != nullptr) {
    this->processes.at(host)->Signal(number);
  }
}

bool RelayFleet::WaitForExit(std::size_t host) {
  const bool exited = this->processes.at(host)->WaitForExit();
  this->processes.at(host).reset();
  return exited;
}

bool RelayFleet::Ready(std::size_t host) const {
  try {
    return CallHttp("127.0.0.1:" + std::to_string(this->Port(host, 1)),
                    {.path = "/readiness"}, kReadinessTimeout)
               .status == 200;
  } catch (const Error&) {
    return false;  // not listening yet
  }
}

std::string RelayFleet::Metrics(std::size_t host) const {
  return CallHttp("127.0.0.1:" + std::to_string(this->Port(host, 5)),
                  {.path = "/metrics"}, kReadinessTimeout)
      .body;
}

std::string RelayFleet::Log(std::size_t host) const {
  std::ifstream file((this->options.log_directory.empty()
                          ? this->directory
                          : this->options.log_directory) /
                     ("h" + std::to_string(host) + ".log"));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void RelayFleet::PutRoutes(std::uint64_t version) {
  boost::json::object all =
      RouteObject("all", "idempotent", this->options.route_timeout);
  boost::json::array shards;
  boost::json::array services;
  for (std::size_t i = 0; i < this->options.services; ++i) {
    const std::string name = "s" + std::to_string(i);
    shards.emplace_back(name);
    services.push_back({{"name", name}, {"max_connections", 100}});
  }
  all["gather"] = std::move(shards);
  all["top_k"] = kTopRecords;
  all["min_coverage"] = 0.5;
  boost::json::array routes = {all};
  if (version % 2 == 1) {
    all["name"] = "short";
    all["prefix"] = "/all/short/";
    all["top_k"] = kShortTopRecords;
    routes.push_back(std::move(all));
  }
  boost::json::object one =
      RouteObject("one", "non_idempotent", this->options.route_timeout);
  one["service"] = "s0";
  routes.push_back(std::move(one));
  boost::json::object account =
      RouteObject("account", "idempotent", this->options.route_timeout);
  account["service"] = "s1";
  account["auth_exempt"] = false;
  routes.push_back(std::move(account));
  boost::json::object moved = RouteObject("moved", "idempotent", kProbeTimeout);
  moved["service"] = this->targets.at(this->MovedTarget(version))->service();
  routes.push_back(std::move(moved));
  for (std::uint64_t mark = version; HasMark(version, mark); --mark) {
    boost::json::object added =
        RouteObject("v" + std::to_string(mark), "idempotent", kProbeTimeout);
    added["service"] = "s1";
    routes.push_back(std::move(added));
  }
  this->store_standin->Put(
      "op/config", boost::json::serialize(
                       boost::json::object{{"version", version},
                                           {"routes", std::move(routes)},
                                           {"services", std::move(services)},
                                           {"tenants", Accounts()}}));
}

std::size_t RelayFleet::MaxAccountRuns() const {
  const double allowed =
      kAccountRate * static_cast<double>(kLimitWindow.count()) + kAccountBurst;
  return static_cast<std::size_t>(allowed * (1 + kLimitExcess) + kLimitMargin);
}

std::size_t RelayFleet::MovedTarget(std::uint64_t version) const {
  return version % this->options.services * kReplicas;
}

void RelayFleet::Register(std::size_t target, bool draining) {
  this->store_standin->Put("servers/" + this->targets.at(target)->id(),
                           this->targets.at(target)->Registration(draining));
}

void RelayFleet::Unregister(std::size_t target) {
  this->store_standin->Remove("servers/" + this->targets.at(target)->id());
}

void RelayFleet::FloodService(std::size_t service,
                              FloodShape shape,
                              std::size_t count) {
  this->flooded_service = service;
  for (std::size_t i = 0; i < count; ++i) {
    this->flood_targets.push_back(std::make_unique<FloodTarget>(
        "s" + std::to_string(service), DomainOf(i), shape));
    this->store_standin->Put("servers/flood" + std::to_string(i),
                             this->flood_targets.back()->Registration());
  }
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->Unregister(service * kReplicas + i);
  }
}

void RelayFleet::EndFlood() {
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->Register(this->flooded_service * kReplicas + i);
  }
  for (std::size_t i = 0; i < this->flood_targets.size(); ++i) {
    this->store_standin->Remove("servers/flood" + std::to_string(i));
  }
  this->flood_targets.clear();
}

void RelayFleet::Evacuate(std::size_t domain, bool evacuated) {
  const std::string key = "op/evacuate/" + DomainOf(domain);
  if (evacuated) {
    this->store_standin->Put(key, "{}");
  } else {
    this->store_standin->Remove(key);
  }
}

std::string RelayFleet::MergedRecords() const {
  RecordMerger merger(kTopRecords);
  for (std::size_t i = 0; i < this->targets.size(); i += kReplicas) {
    merger.Add(this->targets.at(i)->Record());
  }
  return merger.Take();
}

HttpResponse RelayFleet::Get(std::size_t host,
                             const std::string& path,
                             const std::string& request_id,
                             std::chrono::milliseconds deadline,
                             std::string_view key) const {
  HttpHeaders headers = {
      {"Host", "fleet.example"},
      {std::string(platform::kRequestId), request_id},
      {std::string(platform::kDeadline), std::to_string(deadline.count())}};
  if (!key.empty()) {
    headers.emplace_back(platform::kApiKey, key);
  }
  return CallHttp(this->Address(host),
                  {.path = path, .headers = std::move(headers)},
                  deadline + kCallTimeoutMargin);
}

}  // namespace auburnyard::util
