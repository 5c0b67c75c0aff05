// One backend runs requests and answers a part of them with 503 without saying
// that it did not run them. Checks the rule REFUSED.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>
#include <sstream>

#include <boost/json.hpp>

#include "review/standin/backend.h"
#include "review/standin/host.h"

namespace review {

namespace {

namespace json = boost::json;

constexpr std::size_t kClients = 12;
constexpr int kRequests = 250;  // of each client
constexpr std::size_t kBackends = 7;
// Largest dose of srv_grey that the site's kinds name: a share of 0.15 of the
// backends fails 0.4 of its requests.
constexpr std::size_t kFailingBackends = 1;
constexpr double kFailingShare = 0.4;
constexpr Milliseconds kDeadline{2'000};
constexpr Milliseconds kPause{40};
constexpr Milliseconds kWork{5};

json::object MakeRoute(const std::string& name, const std::string& type) {
  return {{"name", name},
          {"host", "fleet.example"},
          {"prefix", "/" + name + "/"},
          {"route_type", type},
          {"timeout_ms", kDeadline.count()},
          {"target_latency_ms", 300},
          {"priority", 1},
          {"service", "ledger"},
          {"max_attempts", 2},
          {"allowed_regions", json::array()}};
}

void PutConfig(Store& store) {
  const json::object service = {
      {"name", "ledger"},       {"health_path", "/health"},
      {"max_connections", 110}, {"protocol", "h1"},
      {"tls", false},           {"warmup_s", 3.0},
      {"warmup_per_s", 0.0}};
  store.Put("op/config",
            json::serialize(json::object{
                {"version", 3},
                {"routes", json::array{MakeRoute("book", "non_idempotent")}},
                {"services", json::array{service}},
                {"limits",
                 {{"header_bytes", 16'384},
                  {"max_body_bytes", 262'144},
                  {"header_timeout_ms", 3'000},
                  {"idle_timeout_ms", 15'000}}}}));
}

class Case {
 public:
  explicit Case(const std::string& path) : record(path) {}

  int Run();

 private:
  void RunClient(std::size_t client);
  int Judge();

  Record record;
  Folder folder;
  Store store;
  ArrivalLog arrivals;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Host>> hosts;
  std::mutex mutex;
  std::map<std::string, int> statuses;  // by request
};

void Case::RunClient(std::size_t client) {
  std::unique_ptr<Connection> connection;
  for (int number = 0; number < kRequests; ++number) {
    std::this_thread::sleep_for(kPause);
    if (connection == nullptr) {
      connection =
          Connection::Open(this->hosts[client % this->hosts.size()]->front());
      if (connection == nullptr) {
        continue;
      }
    }
    const std::string id =
        "b" + std::to_string(client) + "-" + std::to_string(number);
    Message answer;
    connection->Write(
        EncodeRequest("POST", "/book/seat", id, kDeadline, "seat=12"));
    const bool answered =
        connection->Read(answer, Now() + kDeadline + Milliseconds(500));
    const int status = answered ? answer.Status() : 0;
    this->record.Line(id + " status " + std::to_string(status));
    {
      const std::lock_guard lock(this->mutex);
      this->statuses[id] = status;
    }
    if (!answered || answer.Header("Connection") == "close") {
      connection = nullptr;
    }
  }
}

int Case::Judge() {
  std::set<std::string> executed;
  for (const Arrival& arrival : this->arrivals.All()) {
    if (arrival.started != SteadyTime::max()) {
      executed.insert(arrival.request);
    }
  }
  int served = 0;
  int promised = 0;
  int broken = 0;
  for (const auto& [id, status] : this->statuses) {
    served += status == 200 ? 1 : 0;
    if (status != 408 && status != 421 && status != 429 && status != 503) {
      continue;
    }
    ++promised;
    if (executed.contains(id)) {
      ++broken;
      this->record.Line("REFUSED " + id + " got " + std::to_string(status) +
                        " and has run");
    }
  }
  std::ostringstream summary;
  summary << "requests " << this->statuses.size() << ", served " << served
          << ", refused as not run " << promised << ", of them have run "
          << broken;
  this->record.Line(summary.str());
  std::cout << summary.str() << "\n";
  if (served == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

int Case::Run() {
  Site site;
  site.regions = {{"zone-a", "region-a"}, {"zone-b", "region-b"}};
  PutConfig(this->store);
  const std::vector<std::string> zones = {"zone-a", "zone-b"};
  for (std::size_t i = 0; i < kBackends; ++i) {
    this->backends.push_back(std::make_unique<Backend>(
        Backend::Options{.id = "i" + std::to_string(i),
                         .service = "ledger",
                         .zone = zones[i % zones.size()],
                         .work = kWork,
                         .failing_share = WithTrouble() && i < kFailingBackends
                                              ? kFailingShare
                                              : 0},
        this->store, this->arrivals));
  }
  for (const std::string& zone : zones) {
    this->hosts.push_back(std::make_unique<Host>("front-" + zone, zone));
  }
  std::vector<Host*> all;
  for (const auto& host : this->hosts) {
    all.push_back(host.get());
  }
  for (Host* host : all) {
    host->Configure(this->folder.path(), site, this->store.port(), all);
    host->Start();
  }
  if (!AwaitFleet(all,
                  [&] { return this->store.Count("hosts/") == all.size(); })) {
    this->record.Line("the fleet did not start");
    return 2;
  }
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i] { this->RunClient(i); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& backend : this->backends) {
    backend->End();
  }
  const int result = this->Judge();
  this->store.Stop();
  return result;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: case RECORD\n";
    return 2;
  }
  try {
    return review::Case(argv[1]).Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
