// Plays one case: the platform's store, servers and clients around machines of
// the system that the caller has started. Exits with 1 if the rule was broken,
// 0 if it held, 2 if the case could not run.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
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

constexpr std::string_view kService = "archive-desk";
// The index, as at the site: its servers only report here.
constexpr int kShards = 20;
constexpr milliseconds kHeartbeat{1'200};
const std::vector<std::string> kZones = {"glasgow-east", "inverness-a",
                                         "galashiels-b"};

struct Ports {
  std::uint16_t store = 0;
  std::vector<std::uint16_t> ingress;
  std::vector<std::uint16_t> readiness;
};

std::string ShardName(int index) {
  return "council-portal-" + std::to_string(index);
}

boost::json::object Configuration() {
  using boost::json::array;
  using boost::json::object;
  array shards;
  array services = {object{{"name", kService},
                           {"health_path", "/health"},
                           {"max_connections", 48},
                           {"warmup_s", 3},
                           {"warmup_per_s", 0}}};
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
  Stage(const Ports& machine_ports, const std::string& record_path)
      : record(record_path),
        ports(machine_ports),
        store(machine_ports.store),
        clients({.machines = machine_ports.ingress,
                 .host = "archive.example",
                 .path = "/orders/new"},
                this->record) {}

  Server& AddServer(const std::string& id,
                    std::string_view service,
                    const std::string& zone) {
    this->servers.push_back(std::make_unique<Server>(
        Server::Options{.id = id,
                        .service = std::string(service),
                        .zone = zone,
                        .heartbeat = kHeartbeat},
        this->store, this->runs, this->record));
    return *this->servers.back();
  }

  /// Adds a server in each zone, starts those from `first` on and waits until
  /// all machines are ready.
  bool Prepare(std::size_t first) {
    this->store.Put("op/config", Configuration());
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      Server& server =
          this->AddServer("server-" + std::to_string(i), kService, kZones[i]);
      if (i >= first) {
        server.Start();
      }
    }
    for (int i = 0; i < kShards; ++i) {
      for (int k = 0; k < 2; ++k) {
        this->AddServer(ShardName(i) + "-" + std::to_string(k), ShardName(i),
                        kZones.at(static_cast<std::size_t>(k)))
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

// A server reports that it drains. Right after the store has accepted that, the
// store falls silent. The answers of the server say that it leaves.
int PlayLeaving(Stage& stage, bool trouble) {
  constexpr milliseconds kOutage{4'500};
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
  std::this_thread::sleep_until(drained + kOutage);
  leaving.Leave();
  stage.store.SetSilent(false);
  Report(stage, "the store answers");
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

// Prints ports that are free at the moment.
int PrintPorts(std::size_t count) {
  asio::io_context io;
  std::vector<asio::ip::tcp::acceptor> held;
  for (std::size_t i = 0; i < count; ++i) {
    held.emplace_back(
        io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::cout << held.back().local_endpoint().port() << '\n';
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
  Stage stage(ports, arguments[1]);
  const bool starts_late = arguments[0] == "clock";
  if (!stage.Prepare(starts_late ? 1 : 0)) {
    Report(stage, "the machines are not ready");
    return kCannotRun;
  }
  return starts_late ? PlayClock(stage, trouble) : PlayLeaving(stage, trouble);
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
