// The backends of a busy service are replaced one after the other: the new one
// starts first, the old one drains. Checks the rule DRAIN.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>

#include "review/standin/backend.h"
#include "review/standin/host.h"

namespace review {

namespace {

namespace json = boost::json;

constexpr std::size_t kClients = 54;
constexpr Milliseconds kWork{600};
constexpr Milliseconds kDeadline{6'000};
constexpr Milliseconds kSettle{10'000};
constexpr Milliseconds kStartFirst{1'000};  // the new backend before the drain
constexpr Milliseconds kStayAfterDrain{500};
constexpr Milliseconds kBetween{10'000};
constexpr int kReplacements = 4;

void PutConfig(Store& store) {
  const json::object route = {{"name", "ledger"},
                              {"host", "fleet.example"},
                              {"prefix", "/ledger/"},
                              {"route_type", "non_idempotent"},
                              {"timeout_ms", kDeadline.count()},
                              {"target_latency_ms", 1'000},
                              {"priority", 2},
                              {"service", "ledger"},
                              {"max_attempts", 2},
                              {"allowed_regions", json::array()}};
  const json::object service = {
      {"name", "ledger"},       {"health_path", "/health"},
      {"max_connections", 110}, {"protocol", "h1"},
      {"tls", false},           {"warmup_s", 3.0},
      {"warmup_per_s", 0.0}};
  store.Put("op/config",
            json::serialize(json::object{{"version", 3},
                                         {"routes", json::array{route}},
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
  void AddBackend(const std::string& zone);
  void Replace(std::size_t index);
  int Judge();

  Record record;
  Folder folder;
  Site site;
  Store store;
  ArrivalLog arrivals;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Host>> hosts;
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::map<std::string, int> statuses;  // by request
  std::map<std::string, SteadyTime> drained;
};

void Case::RunClient(std::size_t client) {
  std::unique_ptr<Connection> connection;
  for (int number = 0; !this->stop; ++number) {
    if (connection == nullptr) {
      connection = Connection::Open(this->hosts.front()->front());
      if (connection == nullptr) {
        std::this_thread::sleep_for(Milliseconds(100));
        continue;
      }
    }
    const std::string id =
        "c" + std::to_string(client) + "r" + std::to_string(number);
    Message answer;
    connection->Write(
        EncodeRequest("POST", "/ledger/x", id, kDeadline, "entry " + id));
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
    if (status != 200) {
      // Clients honour Retry-After; here a fixed time.
      std::this_thread::sleep_for(Milliseconds(500));
    }
  }
}

void Case::AddBackend(const std::string& zone) {
  this->backends.push_back(std::make_unique<Backend>(
      Backend::Options{.id = "i" + std::to_string(this->backends.size()),
                       .service = "ledger",
                       .zone = zone,
                       .slots = 3,
                       .queue = 12,
                       .work = kWork},
      this->store, this->arrivals));
}

void Case::Replace(std::size_t index) {
  Backend& old = *this->backends.at(index);
  this->AddBackend(old.options().zone);
  std::this_thread::sleep_for(kStartFirst);
  this->drained[old.options().id] = old.Drain();
  this->record.Line("draining " + old.options().id);
  std::this_thread::sleep_for(Milliseconds(this->site.drain_ms) +
                              kStayAfterDrain);
  old.End();
  this->record.Line("ended " + old.options().id);
}

int Case::Judge() {
  int served = 0;
  int unanswered = 0;
  int late = 0;
  int lost = 0;
  std::map<int, int> counts;
  for (const auto& [id, status] : this->statuses) {
    ++counts[status];
    served += status == 200 ? 1 : 0;
    unanswered += status == 0 ? 1 : 0;
  }
  for (const Arrival& arrival : this->arrivals.All()) {
    const auto found = this->drained.find(arrival.backend);
    if (found == this->drained.end() || arrival.state == "refused") {
      continue;
    }
    const double after = this->record.Seconds(arrival.arrived) -
                         this->record.Seconds(found->second);
    if (after * 1'000 <= this->site.drain_ms) {
      continue;
    }
    ++late;
    lost += arrival.state == "ended" ? 1 : 0;
    std::ostringstream line;
    line << "LATE " << arrival.request << " reached " << arrival.backend << " "
         << after << " s after its drain was acknowledged, " << arrival.state
         << ", the client got " << this->statuses[arrival.request];
    this->record.Line(line.str());
  }
  std::ostringstream summary;
  summary << "requests " << this->statuses.size() << ", served " << served
          << ", without an answer " << unanswered << ", other answers";
  for (const auto& [status, count] : counts) {
    if (status != 200 && status != 0) {
      summary << " " << count << "x" << status;
    }
  }
  summary << ", late at a draining backend " << late
          << ", of them cut by its end " << lost;
  this->record.Line(summary.str());
  std::cout << summary.str() << "\n";
  if (served == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

int Case::Run() {
  this->site.regions = {{"zone-a", "region-a"}, {"zone-b", "region-b"}};
  PutConfig(this->store);
  for (const std::string zone : {"zone-a", "zone-b"}) {
    this->AddBackend(zone);
    this->hosts.push_back(std::make_unique<Host>("front-" + zone, zone));
  }
  std::vector<Host*> all;
  for (const auto& host : this->hosts) {
    all.push_back(host.get());
  }
  for (Host* host : all) {
    host->Configure(this->folder.path(), this->site, this->store.port(), all);
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
  std::this_thread::sleep_for(kSettle);
  for (std::size_t i = 0; i < kReplacements; ++i) {
    if (WithTrouble()) {
      this->Replace(i);
    }
    std::this_thread::sleep_for(kBetween);
  }
  this->stop = true;
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
