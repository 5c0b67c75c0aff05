// Entry hosts are stopped and started in turn while a slow service has a queue
// that every request leaves before its deadline. Checks the rule LOST around
// the SIGTERM.

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

constexpr std::size_t kClients = 46;
constexpr Milliseconds kWork{600};
constexpr Milliseconds kDeadline{6'000};
constexpr Milliseconds kSettle{12'000};
constexpr Milliseconds kProbeInterval{1'000};
constexpr int kMissesToLeave = 2;
constexpr Milliseconds kRestartDelay{500};
constexpr Milliseconds kAfterRestart{12'000};
constexpr int kTurns = 4;
constexpr Milliseconds kGrace{6'000};
constexpr Milliseconds kLastSixth = kGrace - kGrace / 6;
constexpr Milliseconds kExcusedSend{3'000};
constexpr Milliseconds kAfterGrace{1'000};

// One request of a client.
struct Sent {
  std::string id;
  std::size_t host = 0;
  SteadyTime sent;
  SteadyTime ended;
  int status = 0;  // 0: the connection ended without an answer
};

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
  void Probe();
  void RunClient(std::size_t client);
  std::size_t PickHost(std::size_t client, int attempt) const;
  void Stop(std::size_t host);
  int Judge();
  bool Excused(const Sent& request,
               SteadyTime terminated,
               const std::vector<Arrival>& all,
               std::string& where) const;

  Record record;
  Folder folder;
  Store store;
  ArrivalLog arrivals;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Host>> hosts;
  std::atomic<bool> stop{false};
  std::array<std::atomic<bool>, 2> in_rotation{true, true};
  std::mutex mutex;
  std::vector<Sent> requests;
  std::vector<std::pair<std::size_t, SteadyTime>> terminations;
};

// The platform's balancer: two misses take a host out, a 200 takes it back.
void Case::Probe() {
  std::array<int, 2> misses{};
  while (!this->stop) {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      misses[i] = this->hosts[i]->Ready() ? 0 : misses[i] + 1;
      this->in_rotation[i] = misses[i] < kMissesToLeave;
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
}

std::size_t Case::PickHost(std::size_t client, int attempt) const {
  const std::size_t host =
      (client + static_cast<std::size_t>(attempt)) % this->hosts.size();
  return this->in_rotation[host] || !this->in_rotation[1 - host] ? host
                                                                 : 1 - host;
}

void Case::RunClient(std::size_t client) {
  std::unique_ptr<Connection> connection;
  std::size_t host = 0;
  for (int number = 0; !this->stop; ++number) {
    if (connection == nullptr) {
      host = this->PickHost(client, number);
      connection = Connection::Open(this->hosts[host]->front());
      if (connection == nullptr) {
        std::this_thread::sleep_for(Milliseconds(100));
        continue;
      }
    }
    Sent request{
        .id = "c" + std::to_string(client) + "r" + std::to_string(number),
        .host = host,
        .sent = {},
        .ended = {}};
    Message answer;
    connection->Write(EncodeRequest("POST", "/ledger/x", request.id, kDeadline,
                                    "entry " + request.id));
    request.sent = Now();
    const bool answered =
        connection->Read(answer, request.sent + kDeadline + Milliseconds(500));
    request.ended = Now();
    request.status = answered ? answer.Status() : 0;
    const bool close = !answered || answer.Header("Connection") == "close";
    this->record.Line(request.id + " to " + this->hosts[host]->name() +
                      " sent " +
                      std::to_string(this->record.Seconds(request.sent)) +
                      " status " + std::to_string(request.status));
    {
      const std::lock_guard lock(this->mutex);
      this->requests.push_back(request);
    }
    if (close) {
      connection = nullptr;
    }
    if (answered && answer.Status() != 200) {
      // Clients honour Retry-After; here a fixed time.
      std::this_thread::sleep_for(Milliseconds(500));
    }
  }
}

void Case::Stop(std::size_t host) {
  this->record.Line("SIGTERM " + this->hosts[host]->name());
  {
    const std::lock_guard lock(this->mutex);
    this->terminations.emplace_back(host, Now());
  }
  this->hosts[host]->Signal(SIGTERM);
  if (!this->hosts[host]->WaitForEnd(kGrace)) {
    this->record.Line("SIGKILL " + this->hosts[host]->name());
    this->hosts[host]->Signal(SIGKILL);
    this->hosts[host]->WaitForEnd(kGrace);
  }
  this->record.Line("ended " + this->hosts[host]->name());
  std::this_thread::sleep_for(kRestartDelay);
  this->hosts[host]->Start();
}

// What the rule doesn't count. `where` tells how far the request was.
bool Case::Excused(const Sent& request,
                   SteadyTime terminated,
                   const std::vector<Arrival>& all,
                   std::string& where) const {
  where = "not passed on to a backend";
  if (request.ended >= request.sent + kDeadline) {
    where = "deadline reached";
    return true;
  }
  for (const Arrival& arrival : all) {
    if (arrival.request != request.id || arrival.state == "refused") {
      continue;
    }
    where = "waiting at " + arrival.backend;
    if (arrival.started > request.ended) {
      continue;
    }
    where = "at work at " + arrival.backend;
    return arrival.finished >= terminated + kLastSixth &&
           request.sent <= terminated + kExcusedSend;
  }
  return false;
}

int Case::Judge() {
  const std::vector<Arrival> all = this->arrivals.All();
  int served = 0;
  int lost = 0;
  int excused = 0;
  int other = 0;
  int elsewhere = 0;
  for (const Sent& request : this->requests) {
    if (request.status == 200) {
      ++served;
      continue;
    }
    if (request.status != 0) {
      ++other;
      continue;
    }
    const auto found = std::find_if(
        this->terminations.begin(), this->terminations.end(),
        [&](const auto& entry) {
          return entry.first == request.host && request.ended > entry.second &&
                 request.sent < entry.second + kGrace + kAfterGrace;
        });
    if (found == this->terminations.end()) {
      ++elsewhere;
      continue;
    }
    std::string where;
    const bool allowed = this->Excused(request, found->second, all, where);
    (allowed ? excused : lost) += 1;
    std::ostringstream line;
    line << (allowed ? "excused " : "LOST ") << request.id << " sent "
         << this->record.Seconds(request.sent) -
                this->record.Seconds(found->second)
         << " s, cut "
         << this->record.Seconds(request.ended) -
                this->record.Seconds(found->second)
         << " s after SIGTERM, " << where;
    this->record.Line(line.str());
  }
  std::ostringstream summary;
  summary << "requests " << this->requests.size() << ", served " << served
          << ", other answers " << other << ", cut without an answer: counted "
          << lost << ", excused " << excused << ", away from any SIGTERM "
          << elsewhere;
  this->record.Line(summary.str());
  std::cout << summary.str() << "\n";
  if (served == 0) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}

int Case::Run() {
  Site site;
  site.regions = {{"zone-a", "region-a"}, {"zone-b", "region-b"}};
  PutConfig(this->store);
  for (const std::string zone : {"zone-a", "zone-b"}) {
    this->backends.push_back(
        std::make_unique<Backend>(Backend::Options{.id = "i-" + zone,
                                                   .service = "ledger",
                                                   .zone = zone,
                                                   .slots = 3,
                                                   .queue = 18,
                                                   .work = kWork},
                                  this->store, this->arrivals));
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
  std::thread balancer([this] { this->Probe(); });
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i] { this->RunClient(i); });
  }
  std::this_thread::sleep_for(kSettle);
  for (int turn = 0; turn < kTurns; ++turn) {
    if (WithTrouble()) {
      this->Stop(static_cast<std::size_t>(turn) % this->hosts.size());
    }
    std::this_thread::sleep_for(kAfterRestart);
  }
  this->stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  balancer.join();
  const int result = this->Judge();
  for (const auto& backend : this->backends) {
    backend->End();
  }
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
