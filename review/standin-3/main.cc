#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "callers.h"
#include "hosts.h"
#include "record.h"
#include "server.h"
#include "store.h"

namespace auburnyard::review {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr seconds kTimeLimit{110};
constexpr int kTimeoutMs = 2'000;
constexpr int kMaxConnections = 48;
// Largest dose of the site files: kind "garble", share 0.6 of the servers, 0.03
// of their answers for 5 s, more than once.
constexpr double kGarbledShare = 0.03;
constexpr seconds kGarbleTime{5};
constexpr int kGarbleCount = 8;
constexpr std::size_t kGarbleServers = 5;
constexpr std::size_t kGarbledServers = 3;
// Largest dose of the site files: kind "srv_grey", share 0.14 of the servers,
// 0.45 of their requests for 6.5 s.
constexpr double kFailedShare = 0.45;
constexpr milliseconds kGreyTime{6'500};
// One of eight servers is faulty; five of them are of another service.
constexpr std::size_t kGreyServers = 8;
constexpr std::size_t kBookingServers = 3;
constexpr std::size_t kSmuggledCount = 20;

/// A deployment of three entry hosts and servers of one service.
struct Deployment {
  Deployment(const std::string& program,
             const std::string& record_path,
             std::size_t server_count,
             std::size_t booking_servers,
             bool idempotent)
      : record(record_path) {
    for (std::size_t i = 0; i < server_count; ++i) {
      this->servers.push_back(std::make_unique<Server>(
          Server::Options{
              .id = "i-" + std::to_string(i),
              .service = i < booking_servers ? "booking" : "archive",
              .zone = Hosts::Zone(i),
              .seed = 7 + static_cast<unsigned>(i)},
          this->ledger, this->record));
      this->store.Put("servers/" + this->servers.back()->id(),
                      this->servers.back()->Registration());
    }
    const json::object route = {
        {"name", "r-1"},
        {"host", "review.example"},
        {"prefix", "/booking/"},
        {"route_type", idempotent ? "idempotent" : "non_idempotent"},
        {"timeout_ms", kTimeoutMs},
        {"target_latency_ms", 300},
        {"priority", 1},
        {"service", "booking"},
        {"max_attempts", 2},
        {"allowed_regions", json::array()}};
    const json::object service = {{"name", "booking"},
                                  {"health_path", "/health"},
                                  {"max_connections", kMaxConnections},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"warmup_s", 3.0},
                                  {"warmup_per_s", 0.0}};
    this->store.Put(
        "op/config",
        json::serialize(json::object{
            {"version", 7},
            {"routes", json::array{route}},
            {"services", json::array{service}},
            {"limits", json::object{{"header_bytes", 16'384},
                                    {"max_body_bytes", 262'144},
                                    {"header_timeout_ms", 3'000},
                                    {"idle_timeout_ms", 15'000}}}}));
    this->hosts = std::make_unique<Hosts>(program, this->store.port());
  }

  std::vector<std::uint16_t> ports() const {
    std::vector<std::uint16_t> found;
    for (std::size_t i = 0; i < this->hosts->size(); ++i) {
      found.push_back(this->hosts->port(i));
    }
    return found;
  }

  Record record;
  Ledger ledger;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::unique_ptr<Hosts> hosts;
};

struct Options {
  std::string program;
  std::string record_path;
  bool trouble = true;
};

// Never destroyed: the threads of the stand-ins use it until the process ends.
std::unique_ptr<Deployment>& Present() {
  static std::unique_ptr<Deployment> present;
  return present;
}

Deployment& Start(const Options& options,
                  std::size_t server_count,
                  std::size_t booking_servers,
                  bool idempotent) {
  Present() =
      std::make_unique<Deployment>(options.program, options.record_path,
                                   server_count, booking_servers, idempotent);
  return *Present();
}

int Conclude(Deployment& deployment, std::size_t broken) {
  const bool ended = deployment.hosts->AnyEnded();
  deployment.record.Add(std::to_string(broken) + " times broken");
  deployment.record.Flush();
  if (ended) {
    std::printf("a host has ended\n");
    return kNotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

void Report(Deployment& deployment, const std::string& line) {
  std::printf("%s\n", line.c_str());
  deployment.record.Add(line);
}

/// Some of the servers garble their answers, several times for a while.
void PlayGarble(Deployment& deployment, bool trouble) {
  const auto set_share = [&deployment](double share) {
    for (std::size_t i = 0; i < kGarbledServers; ++i) {
      deployment.servers[i]->faults.cut_copies = share;
    }
  };
  std::this_thread::sleep_for(seconds(2));
  for (int i = 0; i < kGarbleCount; ++i) {
    deployment.record.Add("garble begins");
    set_share(trouble ? kGarbledShare : 0);
    std::this_thread::sleep_for(kGarbleTime);
    set_share(0);
    deployment.record.Add("garble ends");
    std::this_thread::sleep_for(seconds(3));
  }
  std::size_t copies = 0;
  std::size_t answers = 0;
  for (std::size_t i = 0; i < kGarbledServers; ++i) {
    copies += deployment.servers[i]->cut_copy_count();
    answers += deployment.servers[i]->answer_count();
  }
  Report(deployment, std::to_string(copies) + " cut copies beside " +
                         std::to_string(answers) +
                         " answers of the faulty servers");
}

/// TWICE: a request that isn't idempotent runs more than once.
int PlayTwice(const Options& options) {
  Deployment& deployment =
      Start(options, kGarbleServers, kGarbleServers, /*idempotent=*/false);
  if (!deployment.hosts->WaitUntilReady(seconds(20))) {
    return kNotRun;
  }
  Callers callers({.count = 36,
                   .method = "POST",
                   .ports = deployment.ports(),
                   .path = [](std::uint64_t) { return "/booking/confirm"; }},
                  deployment.record);
  PlayGarble(deployment, options.trouble);
  callers.Stop();
  std::size_t twice = 0;
  for (const std::string& id : deployment.ledger.RequestIds()) {
    const std::size_t runs = deployment.ledger.Runs(id);
    if (runs > 1) {
      ++twice;
      deployment.record.Add("TWICE: " + id + " ran " + std::to_string(runs) +
                            " times");
    }
  }
  std::size_t refused = 0;
  for (const Outcome& outcome : callers.outcomes()) {
    refused +=
        outcome.status == 503 && deployment.ledger.Runs(outcome.request_id) > 0
            ? 1
            : 0;
  }
  Report(deployment, std::to_string(callers.outcomes().size()) + " requests, " +
                         std::to_string(twice) + " ran more than once, " +
                         std::to_string(refused) +
                         " were answered 503 and have run");
  return Conclude(deployment, twice);
}

/// MIXED: the answer isn't that of the server whose signature it bears.
bool IsMixed(const Outcome& outcome, const Ledger& ledger) {
  const bool success = outcome.status / 100 == 2;
  if (outcome.signatures.empty()) {
    return success;
  }
  const Execution given = ledger.Find(outcome.signatures.front());
  return given.request_id != outcome.request_id ||
         given.status != outcome.status ||
         (success && given.body != outcome.body);
}

int PlayMixed(const Options& options) {
  Deployment& deployment =
      Start(options, kGarbleServers, kGarbleServers, /*idempotent=*/true);
  if (!deployment.hosts->WaitUntilReady(seconds(20))) {
    return kNotRun;
  }
  Callers callers({.count = 12,
                   .ports = deployment.ports(),
                   .path =
                       [](std::uint64_t number) {
                         return number % 2 == 0 ? "/booking/entry"
                                                : "/booking/absent";
                       }},
                  deployment.record);
  PlayGarble(deployment, options.trouble);
  callers.Stop();
  std::size_t mixed = 0;
  std::size_t false_successes = 0;
  for (const Outcome& outcome : callers.outcomes()) {
    if (outcome.status == 0 || !IsMixed(outcome, deployment.ledger)) {
      continue;
    }
    ++mixed;
    const bool success = outcome.status / 100 == 2;
    false_successes += success ? 1 : 0;
    deployment.record.Add(
        "MIXED: client got " + std::to_string(outcome.status) + " for " +
        outcome.request_id + ", the server gave " +
        std::to_string(
            outcome.signatures.empty()
                ? 0
                : deployment.ledger.Find(outcome.signatures.front()).status));
  }
  Report(deployment, std::to_string(callers.outcomes().size()) + " requests, " +
                         std::to_string(mixed) +
                         " answers with another status than the server gave, " +
                         std::to_string(false_successes) +
                         " of them successes");
  return Conclude(deployment, mixed);
}

/// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408,
/// 421) and has run.
int PlayRefused(const Options& options) {
  static const std::set<int> kPromises = {408, 421, 429, 503};
  Deployment& deployment =
      Start(options, kGreyServers, kBookingServers, /*idempotent=*/false);
  if (!deployment.hosts->WaitUntilReady(seconds(20))) {
    return kNotRun;
  }
  Callers callers({.count = 24,
                   .method = "POST",
                   .ports = deployment.ports(),
                   .path = [](std::uint64_t) { return "/booking/confirm"; }},
                  deployment.record);
  Server& faulty = *deployment.servers.front();
  std::this_thread::sleep_for(seconds(2));
  faulty.faults.failures = options.trouble ? kFailedShare : 0;
  std::this_thread::sleep_for(kGreyTime);
  faulty.faults.failures = 0;
  std::this_thread::sleep_for(seconds(1));
  callers.Stop();
  std::size_t refused = 0;
  for (const Outcome& outcome : callers.outcomes()) {
    if (kPromises.contains(outcome.status) &&
        deployment.ledger.Runs(outcome.request_id) > 0) {
      ++refused;
      deployment.record.Add("REFUSED: " + outcome.request_id +
                            " was answered " + std::to_string(outcome.status) +
                            " and has run");
    }
  }
  Report(deployment, std::to_string(callers.outcomes().size()) + " requests, " +
                         std::to_string(faulty.failure_count()) +
                         " failed at the faulty server, " +
                         std::to_string(refused) +
                         " were answered as not run and have run");
  return Conclude(deployment, refused);
}

/// UNASKED: a backend runs a request whose id no client sent, or one that was
/// smuggled inside another request.
int PlayUnasked(const Options& options) {
  Deployment& deployment = Start(options, 2, 2, /*idempotent=*/false);
  if (!deployment.hosts->WaitUntilReady(seconds(20))) {
    return kNotRun;
  }
  std::set<std::string> sent;
  for (std::size_t i = 0; i < kSmuggledCount; ++i) {
    const std::string outer = RequestId(2 * i);
    const std::string inner = RequestId(2 * i + 1);
    const std::string body =
        "POST /booking/cancel HTTP/1.1\r\nHost: review.example\r\n"
        "X-Auburnyard-Request-Id: " +
        inner + "\r\nContent-Length: 0\r\n\r\n";
    char size[17];
    std::snprintf(size, sizeof(size), "%zx", body.size());
    const std::string framed =
        options.trouble ? body
                        : std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
    const std::string coding = options.trouble ? "gzip" : "chunked";
    sent.insert(outer);
    deployment.record.Add("client sends " + outer +
                          " with Transfer-Encoding: " + coding +
                          ", its body holds the text of a request " + inner);
    Channel channel;
    channel.Connect(deployment.hosts->port(i % deployment.hosts->size()));
    channel.SetReadTimeout(1'000);
    channel.Write(
        "POST /booking/note HTTP/1.1\r\nHost: review.example\r\n"
        "X-Auburnyard-Request-Id: " +
        outer +
        "\r\nX-Auburnyard-Deadline-Ms: 2000\r\n"
        "Transfer-Encoding: " +
        coding + "\r\n\r\n" + framed);
    const auto answer = channel.Read();
    deployment.record.Add("client gets " +
                          (answer ? answer->start_line : "no answer"));
    std::this_thread::sleep_for(milliseconds(200));
  }
  std::size_t unasked = 0;
  for (const std::string& id : deployment.ledger.RequestIds()) {
    if (!sent.contains(id)) {
      ++unasked;
      deployment.record.Add("UNASKED: " + id +
                            " ran, it was part of a body only");
    }
  }
  Report(deployment, std::to_string(sent.size()) + " requests, " +
                         std::to_string(unasked) +
                         " ran that no client has sent");
  return Conclude(deployment, unasked);
}

int Run(int argc, char** argv) {
  const std::map<std::string, std::function<int(const Options&)>> cases = {
      {"twice", PlayTwice},
      {"mixed", PlayMixed},
      {"refused", PlayRefused},
      {"unasked", PlayUnasked}};
  if (argc != 4 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: review-3 CASE PROGRAM RECORD\n");
    return kNotRun;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const Options options{
      .program = argv[2],
      .record_path = argv[3],
      .trouble = trouble == nullptr || std::string(trouble) != "0"};
  try {
    return cases.at(argv[1])(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "review-3: %s\n", error.what());
    return kNotRun;
  }
}

}  // namespace

}  // namespace auburnyard::review

int main(int argc, char** argv) {
  // Ends the hosts also if a case hangs.
  std::thread([] {
    std::this_thread::sleep_for(auburnyard::review::kTimeLimit);
    std::fprintf(stderr, "review-3: the case took too long\n");
    if (auburnyard::review::Present() != nullptr) {
      auburnyard::review::Present()->hosts.reset();
    }
    std::_Exit(auburnyard::review::kNotRun);
  }).detach();
  const int code = auburnyard::review::Run(argc, argv);
  if (auburnyard::review::Present() != nullptr) {
    auburnyard::review::Present()->hosts.reset();
  }
  std::fflush(stdout);
  // The threads of the stand-ins wait for connections without end.
  std::_Exit(code);
}
