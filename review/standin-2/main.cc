// Plays one case: the platform's store, servers and clients around machines of
// the system that the caller has started. Exits with 1 if the rule was broken,
// 0 if it held, 2 if the case could not run.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>

#include "review/standin-2/client.h"
#include "review/standin-2/record.h"
#include "review/standin-2/server.h"
#include "review/standin-2/store.h"

namespace review {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr unsigned kReady = 200;

// Bounds of the site strathmore-counts.
constexpr milliseconds kDrain{3'000};
constexpr milliseconds kRouteTimeout{3'000};
// A server that has reported that it drains serves a little longer than it has
// to.
constexpr milliseconds kServesLonger{1'500};
constexpr seconds kStartTime{10};
constexpr milliseconds kWarmUp{3'000};
constexpr double kWarmUpRate = 4;
// warmup_per_s x warmup_factor + warmup_margin.
constexpr std::size_t kColdBound = 11;
constexpr milliseconds kUsualWork{200};
constexpr milliseconds kShortWork{60};

constexpr std::string_view kService = "archive-desk";
// The index, as at the site: its servers only report here.
constexpr int kShards = 20;
constexpr milliseconds kHeartbeat{1'200};
const std::vector<std::string> kZones = {"glasgow-east", "inverness-a",
                                         "galashiels-b"};

/// Requests of the clients of each machine.
struct Traffic {
  std::size_t threads_per_machine = 4;
  milliseconds pace{500};  // of one thread
};

struct Ports {
  std::uint16_t store = 0;
  std::vector<std::uint16_t> ingress;
  std::vector<std::uint16_t> readiness;
};

std::string ShardName(int index) {
  return "council-portal-" + std::to_string(index);
}

boost::json::object Configuration(double warm_up_per_second) {
  using boost::json::array;
  using boost::json::object;
  array shards;
  array services = {object{{"name", kService},
                           {"health_path", "/health"},
                           {"max_connections", 48},
                           {"warmup_s", 3},
                           {"warmup_per_s", warm_up_per_second}}};
  for (int i = 0; i < kShards; ++i) {
    shards.emplace_back(ShardName(i));
    services.push_back(object{{"name", ShardName(i)},
                              {"health_path", "/health"},
                              {"max_connections", 25},
                              {"warmup_s", 3},
                              {"warmup_per_s", 0}});
  }
  return {{"version", 7},
          {"routes", array{object{{"name", "orders"},
                                  {"host", "archive.example"},
                                  {"prefix", "/orders/"},
                                  {"service", kService},
                                  {"route_type", "non_idempotent"},
                                  {"timeout_ms", kRouteTimeout.count()},
                                  {"target_latency_ms", 300},
                                  {"max_attempts", 2},
                                  {"priority", 2}},
                           object{{"name", "corridors"},
                                  {"host", "archive.example"},
                                  {"prefix", "/corridors/"},
                                  {"gather", std::move(shards)},
                                  {"top_k", 10},
                                  {"min_coverage", 0.89},
                                  {"route_type", "idempotent"},
                                  {"timeout_ms", 1'000},
                                  {"target_latency_ms", 100},
                                  {"max_attempts", 2},
                                  {"priority", 1}}}},
          {"services", std::move(services)},
          {"limits", object{{"header_bytes", 16'384},
                            {"max_body_bytes", 262'144},
                            {"header_timeout_ms", 5'000},
                            {"idle_timeout_ms", 20'000}}}};
}

/// What all cases share.
class Stage {
 public:
  Stage(const Ports& machine_ports,
        const std::string& record_path,
        const Traffic& traffic)
      : record(record_path),
        ports(machine_ports),
        store(machine_ports.store),
        clients({.machines = machine_ports.ingress,
                 .threads_per_machine = traffic.threads_per_machine,
                 .pace = traffic.pace,
                 .host = "archive.example",
                 .path = "/orders/new"},
                this->record) {}

  Server& AddServer(const std::string& id,
                    std::string_view service,
                    const std::string& zone,
                    milliseconds work) {
    this->servers.push_back(std::make_unique<Server>(
        Server::Options{.id = id,
                        .service = std::string(service),
                        .zone = zone,
                        .work = work,
                        .heartbeat = kHeartbeat},
        this->store, this->runs, this->record));
    return *this->servers.back();
  }

  /// Adds a server in each zone, starts those from `first` on and waits until
  /// all machines are ready.
  bool Prepare(std::size_t first,
               double warm_up_per_second,
               milliseconds work) {
    this->store.Put("op/config", Configuration(warm_up_per_second));
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      Server& server = this->AddServer("server-" + std::to_string(i), kService,
                                       kZones[i], work);
      if (i >= first) {
        server.Start();
      }
    }
    for (int i = 0; i < kShards; ++i) {
      for (int k = 0; k < 2; ++k) {
        this->AddServer(ShardName(i) + "-" + std::to_string(k), ShardName(i),
                        kZones.at(static_cast<std::size_t>(k)), work)
            .Start();
        // Servers report at different times.
        std::this_thread::sleep_for(kHeartbeat / (2 * kShards));
      }
    }
    const TimePoint deadline = Clock::now() + kStartTime;
    for (const std::uint16_t port : this->ports.readiness) {
      while (AskReadiness(port) != kReady) {
        if (Clock::now() > deadline) {
          return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
    return true;
  }

  /// Executions by request.
  std::map<std::string, std::vector<Run>> RunsByRequest() const {
    std::map<std::string, std::vector<Run>> found;
    for (Run& run : this->runs.All()) {
      found[run.request].push_back(run);
    }
    return found;
  }

  Record record;
  Ports ports;
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Server>> servers;
  Clients clients;
};

void Report(Stage& stage, const std::string& line) {
  stage.record.Write(line);
  std::cout << line << '\n';
}

/// Requests that ran and whose client got no answer of the server.
std::size_t CountLost(const Stage& stage,
                      const std::set<std::string>& requests) {
  std::size_t lost = 0;
  for (const Exchange& exchange : stage.clients.All()) {
    lost += requests.contains(exchange.request) && exchange.stamp.empty();
  }
  return lost;
}

// The server of the first zone starts, crashes after a second, and starts again
// 0.5 s later under its identifier and at its address. Meanwhile the clock of
// its machine steps back. Later it drains and leaves.
int PlayClock(Stage& stage, bool trouble) {
  constexpr milliseconds kStep{2'000};
  constexpr seconds kCalm{6};
  stage.clients.Start();
  std::this_thread::sleep_for(seconds(2));
  Server& added = *stage.servers.front();
  added.Start();
  std::this_thread::sleep_for(milliseconds(1'000));
  added.Crash();
  std::this_thread::sleep_for(milliseconds(500));
  if (trouble) {
    Report(stage, "the clock of the machine of server-0 steps 2 s back");
  }
  added.Start(trouble ? -kStep : milliseconds(0));
  std::this_thread::sleep_for(kCalm);
  added.Drain();
  const TimePoint acknowledged = Clock::now();
  std::this_thread::sleep_for(kDrain + kServesLonger);
  added.Leave();
  std::this_thread::sleep_for(seconds(1));
  stage.clients.Stop();
  std::map<std::string, Exchange> sent;
  for (Exchange& exchange : stage.clients.All()) {
    sent[exchange.request] = exchange;
  }
  std::set<std::string> late;
  std::size_t early = 0;
  for (const Run& run : stage.runs.All()) {
    if (run.server != added.id()) {
      continue;
    }
    const TimePoint due = acknowledged + kDrain;
    if (run.arrived > due && sent[run.request].sent > due) {
      late.insert(run.request);
      stage.record.Write("LATE " + run.request);
    }
    early += run.arrived <= acknowledged;
  }
  Report(stage, std::to_string(early) +
                    " requests ran at server-0 before it was draining, " +
                    std::to_string(late.size()) +
                    " were sent and reached it later than drain_ms after the "
                    "acknowledgement");
  Report(stage, std::to_string(CountLost(stage, late)) +
                    " of these ended without the answer of the server");
  if (early == 0) {
    return kCannotRun;
  }
  return late.empty() ? kHeld : kBroken;
}

// As above, but the server is cold for a while after each start, and crashes at
// twice the rate that the rule allows.
int PlayWarmUp(Stage& stage, bool trouble) {
  constexpr milliseconds kStep{2'000};
  stage.servers.erase(stage.servers.begin());
  Server server({.id = "server-0",
                 .service = std::string(kService),
                 .zone = kZones.front(),
                 .work = kShortWork,
                 .warm_up = kWarmUp,
                 .cold_crash_rate = 2 * kColdBound},
                stage.store, stage.runs, stage.record);
  stage.clients.Start();
  std::this_thread::sleep_for(seconds(4));
  server.Start();
  std::this_thread::sleep_for(milliseconds(1'000));
  server.Crash();
  std::this_thread::sleep_for(milliseconds(500));
  if (trouble) {
    Report(stage, "the clock of the machine of server-0 steps 2 s back");
  }
  server.Start(trouble ? -kStep : milliseconds(0));
  const TimePoint end = Clock::now() + kWarmUp + seconds(3);
  while (Clock::now() < end && !server.crashed_cold()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (server.crashed_cold()) {
    server.Crash();
  }
  std::this_thread::sleep_until(end);
  stage.clients.Stop();
  std::map<std::string, TimePoint> sent;
  std::set<std::string> answered;
  for (const Exchange& exchange : stage.clients.All()) {
    sent[exchange.request] = exchange.sent;
    if (!exchange.stamp.empty()) {
      answered.insert(exchange.request);
    }
  }
  std::vector<Run> cold;
  for (Run& run : stage.runs.All()) {
    if (run.server == server.id() && run.cold) {
      cold.push_back(run);
    }
  }
  std::size_t most = 0;
  std::size_t unanswered = 0;
  for (const Run& first : cold) {
    std::size_t count = 0;
    for (const Run& run : cold) {
      count +=
          run.arrived >= first.arrived &&
          run.arrived < first.arrived + seconds(1) &&
          (run.request == first.request || sent[run.request] >= first.arrived);
    }
    most = std::max(most, count);
    unanswered += answered.contains(first.request) ? 0 : 1;
  }
  Report(stage, "while cold, server-0 got " + std::to_string(cold.size()) +
                    " requests, at most " + std::to_string(most) +
                    " in one second; the bound is " +
                    std::to_string(kColdBound) +
                    (server.crashed_cold() ? "; it crashed" : ""));
  Report(stage, std::to_string(unanswered) +
                    " of these ended without the answer of the server");
  return most > kColdBound ? kBroken : kHeld;
}

// A server reports that it drains. Right after the store has accepted that, the
// store falls silent. The answers of the server say that it leaves.
int PlayLeaving(Stage& stage, bool trouble) {
  constexpr milliseconds kOutage{4'400};
  stage.clients.Start();
  std::this_thread::sleep_for(seconds(4));
  Server& leaving = *stage.servers.front();
  leaving.Drain();
  const TimePoint drained = Clock::now();
  std::this_thread::sleep_for(milliseconds(20));
  if (trouble) {
    Report(stage, "the store falls silent");
    stage.store.SetSilent(true);
  }
  // The store answers again before the server ends, which takes a while.
  std::this_thread::sleep_until(drained + kOutage);
  stage.store.SetSilent(false);
  Report(stage, "the store answers");
  std::this_thread::sleep_until(drained + kDrain + kServesLonger);
  leaving.Leave();
  std::this_thread::sleep_for(seconds(4));
  stage.clients.Stop();
  std::map<std::size_t, TimePoint> told;  // by machine
  std::map<std::string, Exchange> sent;
  for (Exchange& exchange : stage.clients.All()) {
    sent[exchange.request] = exchange;
    if (exchange.leaving) {
      const auto first = told.emplace(exchange.machine, exchange.ended).first;
      first->second = std::min(first->second, exchange.ended);
    }
  }
  std::set<std::string> late;
  std::size_t early = 0;
  for (const Run& run : stage.runs.All()) {
    if (run.server != leaving.id()) {
      continue;
    }
    const Exchange& exchange = sent[run.request];
    const auto passed_on = told.find(exchange.machine);
    if (passed_on != told.end() && exchange.sent > passed_on->second + kDrain) {
      late.insert(run.request);
      stage.record.Write("LATE " + run.request);
    }
    early += run.arrived <= drained;
  }
  Report(stage,
         std::to_string(told.size()) +
             " machines passed on an answer that says that the server leaves");
  Report(stage, std::to_string(late.size()) +
                    " requests that were sent to them later than drain_ms "
                    "after that reached it");
  Report(stage, std::to_string(CountLost(stage, late)) +
                    " of these ended without the answer of the server");
  if (early == 0) {
    return kCannotRun;
  }
  return late.empty() ? kHeld : kBroken;
}

// Prints ports that are free at the moment. They lie below those that the
// system gives to outgoing connections.
int PrintPorts(std::size_t count) {
  constexpr std::uint16_t kLowest = 11'000;
  constexpr std::uint16_t kHighest = 31'000;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<std::uint16_t> pick(kLowest, kHighest);
  asio::io_context io;
  std::vector<asio::ip::tcp::acceptor> held;
  while (held.size() < count) {
    asio::ip::tcp::acceptor acceptor(io);
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                           pick(random));
    boost::system::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.bind(endpoint, error);
    if (!error) {
      std::cout << endpoint.port() << '\n';
      held.push_back(std::move(acceptor));
    }
  }
  return kHeld;
}

int Play(const std::vector<std::string>& arguments) {
  if (arguments.size() == 2 && arguments[0] == "ports") {
    return PrintPorts(std::stoul(arguments[1]));
  }
  if (arguments.size() < 5) {
    std::cerr << "usage: stage ports COUNT | stage CASE RECORD STORE_PORT "
                 "(INGRESS_PORT READINESS_PORT)...\n";
    return kCannotRun;
  }
  Ports ports;
  ports.store = static_cast<std::uint16_t>(std::stoul(arguments[2]));
  for (std::size_t i = 3; i + 1 < arguments.size(); i += 2) {
    ports.ingress.push_back(
        static_cast<std::uint16_t>(std::stoul(arguments[i])));
    ports.readiness.push_back(
        static_cast<std::uint16_t>(std::stoul(arguments[i + 1])));
  }
  const char* const setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string_view(setting) != "0";
  const std::string& name = arguments[0];
  const bool warms_up = name == "warm-up";
  Traffic traffic;
  if (warms_up) {
    traffic = {.threads_per_machine = 10, .pace = milliseconds(250)};
  }
  Stage stage(ports, arguments[1], traffic);
  const std::size_t first = name == "leaving" ? 0 : 1;
  if (!stage.Prepare(first, warms_up ? kWarmUpRate : 0,
                     warms_up ? kShortWork : kUsualWork)) {
    Report(stage, "the machines are not ready");
    return kCannotRun;
  }
  if (warms_up) {
    return PlayWarmUp(stage, trouble);
  }
  return name == "clock" ? PlayClock(stage, trouble)
                         : PlayLeaving(stage, trouble);
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  try {
    return review::Play(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCannotRun;
  }
}
