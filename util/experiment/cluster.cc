#include "util/experiment/cluster.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "src/net/http_client.h"

namespace auburnyard::util {

namespace {

constexpr std::chrono::seconds kCallTimeout{5};
constexpr std::chrono::seconds kReadyTimeout{20};
constexpr std::chrono::milliseconds kPollInterval{20};
// Offsets from the base port.
constexpr int kPlatformPortOffset = 0;
constexpr int kPlatformControlPortOffset = 1;
constexpr int kHostListPortOffset = 2;
constexpr int kTargetControlPortOffset = 4;

void WriteJson(const std::string& path, const boost::json::value& value) {
  std::ofstream(path) << boost::json::serialize(value) << '\n';
}

HttpResponse Post(const std::string& address,
                  const std::string& path,
                  const boost::json::value& body) {
  HttpCall call;
  call.method = "POST";
  call.path = path;
  call.body = boost::json::serialize(body);
  HttpResponse response = CallHttp(address, call, kCallTimeout);
  if (response.status != 200) {
    throw Error(ErrorKind::kInternal, address + path + ": " + response.body);
  }
  return response;
}

bool RespondsWithOk(const std::string& address, const std::string& path) {
  try {
    HttpCall call;
    call.path = path;
    return CallHttp(address, call, kCallTimeout).status == 200;
  } catch (const Error&) {
    return false;
  }
}

void WaitUntilOk(const std::string& address, const std::string& path) {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  while (!RespondsWithOk(address, path)) {
    if (std::chrono::steady_clock::now() >= deadline) {
      throw Error(ErrorKind::kInternal,
                  address + path + ": not ready within the time-out");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

Cluster::Cluster(const Shape& shape, const ClusterOptions& cluster_options)
    : cluster_shape(shape), options(cluster_options) {
  this->StartStandIns();
  for (const ShapeHost& host : this->cluster_shape.hosts) {
    this->StartHost(host);
  }
  this->WaitUntilReady();
}

// Signals all children before any destructor waits, so that they exit in
// parallel.
Cluster::~Cluster() {
  for (const auto& [name, child] : this->children) {
    child->Signal(SIGKILL);
  }
}

std::string Cluster::ControlAddress(int index) const {
  return "127.0.0.1:" + std::to_string(this->options.base_port + index);
}

void Cluster::Start(const std::string& program,
                    std::vector<std::string> arguments,
                    const std::string& name) {
  arguments.insert(arguments.begin(),
                   this->options.program_directory + "/" + program);
  this->children[name] = std::make_unique<ChildProcess>(
      arguments, this->options.work_directory + "/" + name + ".log");
}

void Cluster::StartStandIns() {
  const std::string& directory = this->options.work_directory;
  boost::json::object keys;
  keys["auburnyard/config"] = MakeConfiguration(this->cluster_shape, 1, "");
  for (const ShapeService& service : this->cluster_shape.services) {
    keys["auburnyard/catalog/" + service.name] = MakeCatalog(service);
  }
  WriteJson(directory + "/keys.json", keys);
  WriteJson(directory + "/targets.json",
            MakeTargetsFile(this->cluster_shape, this->options.median_ms,
                            this->options.seed));
  this->Start("util/platform-standin",
              {"--listen", this->ControlAddress(kPlatformPortOffset),
               "--control", this->ControlAddress(kPlatformControlPortOffset),
               "--initial-keys", directory + "/keys.json"},
              "platform");
  std::vector<std::string> hosts = {"--listen",
                                    this->ControlAddress(kHostListPortOffset)};
  for (const ShapeHost& host : this->cluster_shape.hosts) {
    hosts.emplace_back("--host");
    hosts.push_back("id=" + host.id + ",address=" + host.peer_listen +
                    ",domain=" + host.domain);
  }
  this->Start("util/host-list-standin", hosts, "host-list");
  this->Start("util/target-standin",
              {"--targets", directory + "/targets.json", "--control",
               this->ControlAddress(kTargetControlPortOffset)},
              "targets");
  WaitUntilOk(this->ControlAddress(kPlatformControlPortOffset), "/v1/status");
  WaitUntilOk(this->ControlAddress(kHostListPortOffset), "/v1/hosts");
  WaitUntilOk(this->ControlAddress(kTargetControlPortOffset), "/v1/targets");
}

void Cluster::StartHost(const ShapeHost& host) {
  boost::json::array peers;
  for (const ShapeHost& peer : this->cluster_shape.hosts) {
    if (peer.id != host.id) {
      peers.emplace_back(peer.peer_listen);
    }
  }
  const std::string path =
      this->options.work_directory + "/" + host.id + ".json";
  WriteJson(path, boost::json::object{
                      {"id", host.id},
                      {"domain", host.domain},
                      {"region", host.region},
                      {"listen", host.listen},
                      {"peer_listen", host.peer_listen},
                      {"platform", this->ControlAddress(kPlatformPortOffset)},
                      {"host_list", this->ControlAddress(kHostListPortOffset)},
                      {"peers", std::move(peers)},
                      {"fleet_key", "experiment-fleet-key"},
                      {"operator_key", "experiment-operator-key"},
                      {"policy", this->options.policy},
                      {"balancer_lag_ms", this->options.balancer_lag_ms},
                      {"shutdown_timeout_ms", 10'000},
                      {"log_level", "warn"}});
  this->Start("auburnyardd", {"--settings", path}, host.id);
}

void Cluster::WaitUntilReady() const {
  for (const ShapeHost& host : this->cluster_shape.hosts) {
    WaitUntilOk(host.listen, "/readyz");
  }
}

std::vector<std::string> Cluster::HostAddresses() const {
  std::vector<std::string> addresses;
  for (const ShapeHost& host : this->cluster_shape.hosts) {
    addresses.push_back(host.listen);
  }
  return addresses;
}

void Cluster::ControlTargets(const boost::json::object& change) const {
  Post(this->ControlAddress(kTargetControlPortOffset), "/v1/control", change);
}

void Cluster::ControlPlatform(const boost::json::object& change) const {
  Post(this->ControlAddress(kPlatformControlPortOffset), "/v1/control", change);
}

void Cluster::SetDomainOut(const std::string& domain) {
  HttpCall call;
  call.method = "PUT";
  call.path = "/v1/kv/auburnyard/config";
  call.body = boost::json::serialize(boost::json::object{
      {"value", boost::json::serialize(MakeConfiguration(
                    this->cluster_shape, this->revision + 1, domain))},
      {"expect_version", this->revision}});
  const HttpResponse response =
      CallHttp(this->ControlAddress(kPlatformPortOffset), call, kCallTimeout);
  if (response.status != 200) {
    throw Error(ErrorKind::kInternal,
                "cannot write the configuration: " + response.body);
  }
  ++this->revision;
}

boost::json::value Cluster::TargetStatus() const {
  HttpCall call;
  call.path = "/v1/targets";
  return boost::json::parse(
      CallHttp(this->ControlAddress(kTargetControlPortOffset), call,
               kCallTimeout)
          .body);
}

void Cluster::ResetTargetRecords() const {
  Post(this->ControlAddress(kTargetControlPortOffset), "/v1/reset",
       boost::json::object{});
}

void Cluster::Signal(const std::string& name, int number) const {
  this->children.at(name)->Signal(number);
}

bool Cluster::StopHost(const std::string& id) {
  this->children.at(id)->Signal(SIGTERM);
  return this->children.at(id)->WaitForExit();
}

void Cluster::RestartHost(const std::string& id) {
  for (const ShapeHost& host : this->cluster_shape.hosts) {
    if (host.id == id) {
      this->children.at(id)->WaitForExit();
      this->StartHost(host);
      WaitUntilOk(host.listen, "/readyz");
    }
  }
}

boost::json::value Cluster::Audit(const std::string& request_id) const {
  HttpCall call;
  call.path = "/v1/audit?request_id=" + EncodePercent(request_id);
  return boost::json::parse(
      CallHttp(this->ControlAddress(kTargetControlPortOffset), call,
               kCallTimeout)
          .body);
}

std::string Cluster::PlatformAddress() const {
  return this->ControlAddress(kPlatformPortOffset);
}

}  // namespace auburnyard::util
