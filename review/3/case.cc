// Requests on a fan-out route while the operator adds and removes a longer
// prefix with another top_k. Checks each success against the rule MIXED.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include <boost/json.hpp>

#include "review/standin/backend.h"
#include "review/standin/host.h"

namespace review {

namespace {

namespace json = boost::json;

constexpr std::size_t kShards = 9;
constexpr std::size_t kRecords = 30;  // of a shard
constexpr std::size_t kRecordBytes = 16;
constexpr std::size_t kShortTop = 5;
constexpr std::size_t kLongTop = 50;
constexpr double kMinCoverage = 0.75;
constexpr Milliseconds kDeadline{1'000};
constexpr Milliseconds kPause{10};  // of a client between requests
constexpr Milliseconds kSettle{6'000};
// Above config_apply_ms, so that each version is in force before the next.
constexpr Milliseconds kChangeInterval{5'000};
constexpr int kChanges = 8;

const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};

std::string ShardName(std::size_t shard) {
  return "shard" + std::to_string(shard);
}

// Records with random keys, in no order.
std::string MakeRecords(std::size_t shard) {
  std::mt19937 random(static_cast<std::uint32_t>(shard + 1));
  std::string body;
  for (std::size_t i = 0; i < kRecords; ++i) {
    std::string record;
    const std::uint32_t key = random();
    for (int shift = 24; shift >= 0; shift -= 8) {
      record += static_cast<char>(key >> shift & 0xffU);
    }
    record += ShardName(shard) + "-" + std::to_string(i);
    record.resize(kRecordBytes, '.');
    body += record;
  }
  return body;
}

// The greatest records of the named parts, falling.
std::string Greatest(const std::set<std::string>& services, std::size_t top) {
  std::vector<std::string> records;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    if (services.contains(ShardName(shard))) {
      const std::string body = MakeRecords(shard);
      for (std::size_t at = 0; at < body.size(); at += kRecordBytes) {
        records.push_back(body.substr(at, kRecordBytes));
      }
    }
  }
  std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
    return std::lexicographical_compare(
        b.begin(), b.end(), a.begin(), a.end(), [](char left, char right) {
          return static_cast<unsigned char>(left) <
                 static_cast<unsigned char>(right);
        });
  });
  records.resize(std::min(records.size(), top));
  std::string body;
  for (const std::string& record : records) {
    body += record;
  }
  return body;
}

json::object MakeRoute(const std::string& name,
                       const std::string& prefix,
                       std::size_t top) {
  json::array shards;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards.emplace_back(ShardName(i));
  }
  return {{"name", name},
          {"host", "fleet.example"},
          {"prefix", prefix},
          {"route_type", "idempotent"},
          {"timeout_ms", kDeadline.count()},
          {"target_latency_ms", 250},
          {"priority", 1},
          {"gather", shards},
          {"max_attempts", 2},
          {"top_k", top},
          {"min_coverage", kMinCoverage},
          {"allowed_regions", json::array()}};
}

void PutConfig(Store& store, int version, bool split) {
  json::array routes = {MakeRoute("quick", "/cat/", kShortTop)};
  if (split) {
    routes.push_back(MakeRoute("full", "/cat/full/", kLongTop));
  }
  json::array services;
  for (std::size_t i = 0; i < kShards; ++i) {
    services.push_back(json::object{{"name", ShardName(i)},
                                    {"health_path", "/health"},
                                    {"max_connections", 31},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"warmup_s", 3.0},
                                    {"warmup_per_s", 0.0}});
  }
  store.Put("op/config",
            json::serialize(json::object{{"version", version},
                                         {"routes", routes},
                                         {"services", services},
                                         {"limits",
                                          {{"header_bytes", 16'384},
                                           {"max_body_bytes", 262'144},
                                           {"header_timeout_ms", 3'000},
                                           {"idle_timeout_ms", 15'000}}}}));
}

// Empty if the answer keeps the rule.
std::string Check(const Message& answer, const std::string& id) {
  std::set<std::string> services;
  std::istringstream stamps(answer.JoinedHeader("X-Auburnyard-Part-Stamps"));
  for (std::string stamp; std::getline(stamps, stamp, ',');) {
    stamp.erase(0, stamp.find_first_not_of(' '));
    if (stamp.find("." + id + ".") == std::string::npos) {
      return "a stamp of another request: " + stamp;
    }
    if (!services.insert(stamp.substr(0, stamp.find('.'))).second) {
      return "two stamps of one service: " + stamp;
    }
  }
  const std::size_t missing = std::strtoul(
      answer.Header("X-Auburnyard-Parts-Missing").c_str(), nullptr, 10);
  if (services.size() + missing != kShards) {
    return "parts and missing parts do not add up";
  }
  if (static_cast<double>(services.size()) <
      kMinCoverage * static_cast<double>(kShards)) {
    return "too few parts";
  }
  if (answer.body == Greatest(services, kShortTop) ||
      answer.body == Greatest(services, kLongTop)) {
    return {};
  }
  return "the body has " + std::to_string(answer.body.size() / kRecordBytes) +
         " records and is neither the greatest " + std::to_string(kShortTop) +
         " nor the greatest " + std::to_string(kLongTop) + " of its " +
         std::to_string(services.size()) + " parts";
}

struct Totals {
  std::atomic<int> sent{0};
  std::atomic<int> succeeded{0};
  std::atomic<int> other{0};
  std::atomic<int> wrong{0};
};

void RunClient(const Host& host,
               const std::atomic<bool>& stop,
               Record& record,
               Totals& totals) {
  std::unique_ptr<Connection> connection;
  for (int number = 0; !stop; ++number) {
    std::this_thread::sleep_for(kPause);
    if (connection == nullptr) {
      connection = Connection::Open(host.front());
    }
    const std::string id = host.name() + "r" + std::to_string(number);
    Message answer;
    ++totals.sent;
    if (connection == nullptr ||
        !connection->Write(
            EncodeRequest("GET", "/cat/full/x", id, kDeadline, "")) ||
        !connection->Read(answer, Now() + 2 * kDeadline)) {
      ++totals.other;
      record.Line(id + " no answer");
      connection = nullptr;
      continue;
    }
    if (answer.Status() != 200) {
      ++totals.other;
      record.Line(id + " status " + std::to_string(answer.Status()));
    } else {
      ++totals.succeeded;
      const std::string wrong = Check(answer, id);
      if (!wrong.empty()) {
        ++totals.wrong;
        record.Line(id + " WRONG " + wrong);
      }
    }
    if (answer.Header("Connection") == "close") {
      connection = nullptr;
    }
  }
}

int Run(const std::string& path) {
  Record record(path);
  const Folder folder;
  Site site;
  site.regions = {
      {"zone-a", "region-a"}, {"zone-b", "region-b"}, {"zone-c", "region-c"}};
  Store store;
  ArrivalLog arrivals;
  std::vector<std::unique_ptr<Backend>> backends;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    for (std::size_t copy = 0; copy < 2; ++copy) {
      backends.push_back(std::make_unique<Backend>(
          Backend::Options{
              .id = "i" + std::to_string(shard) + "-" + std::to_string(copy),
              .service = ShardName(shard),
              .zone = kZones[(shard + copy) % kZones.size()],
              .body = MakeRecords(shard)},
          store, arrivals));
    }
  }
  const bool trouble = WithTrouble();
  int version = 3;
  PutConfig(store, version, /*split=*/!trouble);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> all;
  for (const std::string& zone : kZones) {
    hosts.push_back(std::make_unique<Host>("front-" + zone, zone));
    all.push_back(hosts.back().get());
  }
  for (Host* host : all) {
    host->Configure(folder.path(), site, store.port(), all);
    host->Start();
  }
  if (!AwaitFleet(all, [&] { return store.Count("hosts/") == all.size(); })) {
    record.Line("the fleet did not start");
    return 2;
  }
  std::this_thread::sleep_for(kSettle);
  Totals totals;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (Host* host : all) {
    clients.emplace_back([&, host] { RunClient(*host, stop, record, totals); });
  }
  for (int change = 1; change <= kChanges; ++change) {
    std::this_thread::sleep_for(kChangeInterval);
    if (trouble) {
      version += change % 3 + 1;
      PutConfig(store, version, /*split=*/change % 2 == 1);
      record.Line("version " + std::to_string(version) +
                  (change % 2 == 1 ? " adds" : " removes") +
                  " the route /cat/full/");
    }
  }
  std::this_thread::sleep_for(kChangeInterval);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (Host* host : all) {
    host->Signal(SIGKILL);
  }
  std::ostringstream summary;
  summary << "sent " << totals.sent << ", succeeded " << totals.succeeded
          << ", without success " << totals.other << ", arrivals at backends "
          << arrivals.All().size() << ", wrong successes " << totals.wrong;
  record.Line(summary.str());
  std::cout << summary.str() << "\n";
  for (const auto& backend : backends) {
    backend->End();
  }
  store.Stop();
  if (totals.succeeded < totals.sent / 2) {
    record.Line("too few requests were served");
    return 2;
  }
  return totals.wrong > 0 ? 1 : 0;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: case RECORD\n";
    return 2;
  }
  try {
    return review::Run(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
