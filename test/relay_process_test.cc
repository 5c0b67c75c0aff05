#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "auburnyard/status_promise.h"
#include "platform/wire_names.h"
#include "util/relay_soak/soak_caller.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{2'000};
constexpr int kMaxPolls = 1'200;  // terminates a hanging test
constexpr milliseconds kPollInterval{25};

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < kMaxPolls; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

class Fleet : public util::RelayFleet {
 public:
  explicit Fleet(std::uint16_t base_port,
                 std::size_t hosts_per_domain = 1,
                 milliseconds route_timeout = milliseconds(2'000),
                 std::size_t extra_hosts = 0,
                 std::size_t memory_mb = 0)
      : RelayFleet({.program_directory = TEST_BINARY_DIR,
                    .base_port = base_port,
                    .hosts_per_domain = hosts_per_domain,
                    .extra_hosts = extra_hosts,
                    .route_timeout = route_timeout,
                    .memory_mb = memory_mb}) {
    for (std::size_t i = 0; i < this->hosts(); ++i) {
      this->StartHost(i);
    }
    for (std::size_t i = 0; i < this->hosts(); ++i) {
      BOOST_REQUIRE(Eventually([this, i] { return this->Ready(i); }));
    }
  }

  std::string NextId() { return "request-" + std::to_string(++this->last_id); }
  HttpResponse All(std::size_t host) {
    return this->Get(host, "/all/x", this->NextId(), kDeadline);
  }
  bool InForce(std::size_t host, int version) {
    return this->Get(host, "/v" + std::to_string(version) + "/x",
                     this->NextId(), kDeadline)
               .status == 200;
  }
  bool Complete(std::size_t host) {
    const HttpResponse answer = this->All(host);
    return answer.status == 200 && answer.body == this->MergedRecords() &&
           answer.Header(platform::kPartsMissing) == "0";
  }

 private:
  int last_id = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_process_test)

// Guards against a fan-out over failure domains that loses parts, with real
// processes and bundles between hosts.
BOOST_AUTO_TEST_CASE(EachHostAnswersWithAllParts) {
  Fleet fleet(25'000);
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return fleet.Complete(host); }));
  }
  // The host answers 404 once it is certain that no newer route exists, and 503
  // before.
  BOOST_TEST(Eventually([&fleet] {
    const int status = fleet.Get(0, "/none/", "n", kDeadline).status;
    BOOST_TEST((status == 404 || status == 503));
    return status == 404;
  }));
}

// Guards against parts that stay missing after the host that fetches them, or a
// target, was killed.
BOOST_AUTO_TEST_CASE(KilledHostsAndTargetsAreRoutedAround) {
  Fleet fleet(25'100);
  fleet.KillHost(1);
  fleet.target(0).Crash();
  BOOST_TEST(Eventually([&] { return fleet.Complete(0); }));
  BOOST_TEST(Eventually([&] { return fleet.Complete(2); }));
}

// Guards against new requests to a draining target.
BOOST_AUTO_TEST_CASE(DrainingTargetGetsNothing) {
  Fleet fleet(25'200);
  BOOST_TEST(Eventually([&] { return fleet.Complete(0); }));
  fleet.Register(0, /*draining=*/true);
  fleet.Register(1, /*draining=*/true);
  // A host that has received both changes has no target for the request.
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] {
      return fleet.Get(host, "/one/x", fleet.NextId(), kDeadline).status == 503;
    }));
  }
  const std::uint64_t before =
      fleet.target(0).arrivals() + fleet.target(1).arrivals();
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(fleet.All(host).Header(platform::kPartsMissing) == "1");
  }
  BOOST_TEST(fleet.target(0).arrivals() + fleet.target(1).arrivals() == before);
}

// Guards against requests to a target that announced in answers that it leaves,
// while the store does not answer and cannot report it.
BOOST_AUTO_TEST_CASE(LeavingTargetGetsNothingWhileTheStoreIsSilent) {
  Fleet fleet(25'700);
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return fleet.Complete(host); }));
  }
  fleet.store().SetFault(util::StoreFault::kSilent);
  fleet.target(0).faults.leaving = true;
  fleet.target(1).faults.leaving = true;
  // A host to which both have announced it has no target for the request.
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] {
      return fleet.Get(host, "/one/x", fleet.NextId(), kDeadline).status == 503;
    }));
  }
  const std::uint64_t before =
      fleet.target(0).arrivals() + fleet.target(1).arrivals();
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    for (int i = 0; i < 5; ++i) {
      BOOST_TEST(fleet.All(host).Header(platform::kPartsMissing) == "1");
    }
  }
  BOOST_TEST(fleet.target(0).arrivals() + fleet.target(1).arrivals() == before);
  fleet.store().SetFault(util::StoreFault::kNone);
  // A report from before the announcement does not take it back.
  fleet.Register(0);
  fleet.Register(1);
  fleet.PutRoutes(2);
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return fleet.InForce(host, 2); }));
    BOOST_TEST(fleet.All(host).Header(platform::kPartsMissing) == "1");
  }
  BOOST_TEST(fleet.target(0).arrivals() + fleet.target(1).arrivals() == before);
  fleet.target(0).Restart();
  fleet.Register(0);
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return fleet.Complete(host); }));
  }
}

// Guards against a host that exhausts its memory with the bytes that all
// targets of a service send without end, and so ends the requests of all
// others.
BOOST_AUTO_TEST_CASE(EndlessBytesStayWithinTheMemoryOfTheHost) {
  constexpr std::size_t kMemoryMb = 160;
  constexpr std::size_t kMegabyte = 1'024 * 1'024;
  constexpr int kCallers = 80;
  constexpr std::chrono::seconds kFlood{2};
  Fleet fleet(25'800, /*hosts_per_domain=*/1, milliseconds(2'000),
              /*extra_hosts=*/0, kMemoryMb);
  for (const util::FloodShape shape :
       {util::FloodShape::kChunked, util::FloodShape::kUntilClose,
        util::FloodShape::kInformational, util::FloodShape::kHead}) {
    fleet.FloodService(/*service=*/1, shape, /*count=*/4);
    std::atomic<bool> stopping{false};
    std::atomic<int> lost{0};
    std::atomic<int> served{0};
    {
      std::vector<std::jthread> callers;
      for (int i = 0; i < kCallers; ++i) {
        callers.emplace_back([&, i] {
          util::SoakCaller caller;
          const bool sound = i < 2;
          for (int n = 0; !stopping; ++n) {
            const auto answer =
                caller.Get(fleet.Address(0), sound ? "/one/x" : "/v1/x",
                           std::string(util::ToString(shape)) +
                               std::to_string(i) + "-" + std::to_string(n));
            if (sound) {
              ++(answer && answer->result_int() == 200 ? served : lost);
            }
          }
        });
      }
      std::this_thread::sleep_for(kFlood);
      stopping = true;
    }
    BOOST_TEST(served > 0, util::ToString(shape));
    BOOST_TEST(lost == 0, util::ToString(shape));
    BOOST_TEST(fleet.PeakMemory(0) < kMemoryMb * kMegabyte,
               util::ToString(shape));
    fleet.EndFlood();
    BOOST_TEST(Eventually([&] { return fleet.Complete(0); }));
  }
  const std::string metrics = fleet.Metrics(0);
  BOOST_TEST(metrics.find("memory_evictions_total{kind=\"target\"}") !=
             std::string::npos);
  BOOST_TEST(fleet.Log(0).find("memory_limit_reached") != std::string::npos);
}

// Guards against a return to older routes, and against a host that cannot serve
// during an outage of the store.
BOOST_AUTO_TEST_CASE(RoutesSurviveAnOutageOfTheStore) {
  Fleet fleet(25'300);
  const auto in_force = [&fleet](std::size_t host, int version) {
    return fleet.InForce(host, version);
  };
  fleet.PutRoutes(2);
  BOOST_TEST(Eventually([&] { return in_force(0, 2); }));
  fleet.store().SetFault(util::StoreFault::kBusy);
  fleet.PutRoutes(3);
  BOOST_TEST(fleet.Complete(0));
  BOOST_TEST(in_force(0, 2));
  fleet.store().SetFault(util::StoreFault::kNone);
  BOOST_TEST(Eventually([&] { return in_force(0, 3); }));
  fleet.PutRoutes(2);
  BOOST_TEST(Eventually([&] { return in_force(1, 3); }));
  BOOST_TEST(in_force(0, 3));
}

// Guards against stale routes and targets at a host that alone cannot reach the
// store, and against such a host starting without a configuration.
BOOST_AUTO_TEST_CASE(HostWithoutTheStoreFollowsOtherHosts) {
  Fleet fleet(25'600);
  fleet.SetStoreRoute(0, util::RouteState::kCut);
  fleet.PutRoutes(2);
  BOOST_TEST(Eventually([&fleet] { return fleet.InForce(0, 2); }));
  fleet.Unregister(0);
  BOOST_TEST(Eventually([&fleet] {
    const std::uint64_t before = fleet.target(0).arrivals();
    fleet.All(0);
    fleet.All(0);
    return fleet.target(0).arrivals() == before;
  }));
  fleet.KillHost(0);
  fleet.StartHost(0);
  BOOST_TEST(Eventually([&fleet] { return fleet.Ready(0); }));
  BOOST_TEST(fleet.InForce(0, 2));
  BOOST_TEST(fleet.All(0).status == 200);
  fleet.SetStoreRoute(0, util::RouteState::kPass);
  fleet.PutRoutes(3);
  BOOST_TEST(Eventually([&fleet] { return fleet.InForce(0, 3); }));
}

// Guards against an older configuration in force once hosts are in touch.
BOOST_AUTO_TEST_CASE(ConfigurationIsInForceAfterAnswersWereLost) {
  constexpr milliseconds kContactTime{4'000};
  Fleet fleet(25'900, /*hosts_per_domain=*/2, milliseconds(2'000),
              /*extra_hosts=*/4);
  // One host of the large domain watches the store for the others.
  constexpr std::size_t kWatches = 1 + 2 * (Fleet::kDomains - 1);
  for (int version = 2; version < 5; ++version) {
    BOOST_REQUIRE(Eventually(
        [&fleet] { return fleet.store().pending_watches() == kWatches; }));
    fleet.store().SetFault(util::StoreFault::kLostAnswers);
    fleet.PutRoutes(version);
    std::this_thread::sleep_for(milliseconds(200));
    fleet.store().SetFault(util::StoreFault::kNone);
    std::this_thread::sleep_for(kContactTime);
    for (std::size_t host = 0; host < fleet.hosts(); ++host) {
      BOOST_TEST(fleet.InForce(host, version));
    }
  }
}

// Guards against hosts that follow one which does not detect that the store no
// longer answers.
BOOST_AUTO_TEST_CASE(DomainWithAnUnreachableStoreFollowsOtherHosts) {
  constexpr std::size_t kHostsPerDomain = 5;
  Fleet fleet(25'800, kHostsPerDomain);
  BOOST_TEST(Eventually(
      [&fleet] { return fleet.store().pending_watches() == Fleet::kDomains; }));
  fleet.SetStoreRoute(0, util::RouteState::kDrop);
  fleet.PutRoutes(2);
  for (std::size_t i = 0; i < kHostsPerDomain; ++i) {
    BOOST_TEST(
        Eventually([&] { return fleet.InForce(i * Fleet::kDomains, 2); }));
  }
}

// Guards against calls to the store that grow with the number of hosts, and
// against hosts of a large domain that receive no more changes after the hosts
// that watch the store for them are killed.
BOOST_AUTO_TEST_CASE(LargeDomainsWatchTheStoreThroughOneHost) {
  constexpr std::size_t kHostsPerDomain = 5;
  constexpr std::size_t kWatches = Fleet::kDomains;
  Fleet fleet(25'700, kHostsPerDomain);
  BOOST_TEST(Eventually(
      [&fleet] { return fleet.store().pending_watches() == kWatches; }));
  fleet.PutRoutes(2);
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return fleet.InForce(host, 2); }));
  }
  // Killing all hosts of a domain but one includes the watching ones, unless
  // the survivor watches itself.
  for (std::size_t i = 0; i + 1 < kHostsPerDomain; ++i) {
    fleet.KillHost(i * Fleet::kDomains);
  }
  fleet.PutRoutes(3);
  const std::size_t survivor = (kHostsPerDomain - 1) * Fleet::kDomains;
  BOOST_TEST(Eventually([&] { return fleet.InForce(survivor, 3); }));
}

// Guards against requests being aborted by a graceful shutdown.
BOOST_AUTO_TEST_CASE(ShutdownAnswersWhatItAccepted) {
  Fleet fleet(25'400);
  for (std::size_t i = 0; i < fleet.target_count(); ++i) {
    fleet.target(i).faults.delay_ms = 100;
  }
  std::atomic<int> unanswered{0};
  std::atomic<bool> leaving{false};
  std::jthread load([&] {
    int number = 0;
    while (!leaving) {
      try {
        fleet.Get(0, "/one/x", "load-" + std::to_string(++number), kDeadline);
      } catch (const Error&) {
        if (!leaving) {
          ++unanswered;
        }
      }
    }
  });
  fleet.SignalHost(0, SIGTERM);
  BOOST_TEST(Eventually([&] { return !fleet.Ready(0); }));
  // From here on, the load balancer sends no further requests.
  leaving = true;
  load.join();
  BOOST_TEST(fleet.WaitForExit(0));
  BOOST_TEST(unanswered == 0);
}

// Guards against requests that get no answer because they are still at a
// target, or wait for a connection, when the time for a graceful shutdown ends.
// This includes those that arrive late, on new connections.
BOOST_AUTO_TEST_CASE(ShutdownAnswersWhatCannotFinish) {
  constexpr milliseconds kRouteTimeout{20'000};
  constexpr milliseconds kLongDeadline{15'000};
  constexpr int kCallers = 24;  // more than the host has connections
  constexpr int kLateCallers = 6;
  Fleet fleet(25'900, 1, kRouteTimeout);
  for (std::size_t i = 0; i < 2; ++i) {
    fleet.target(i).faults.delay_ms = 12'000;
  }
  std::mutex mutex;
  std::map<std::string, int> statuses;  // 0: no answer
  const auto call = [&](const std::string& id) {
    int status = 0;
    try {
      status = fleet.Get(0, "/one/x", id, kLongDeadline).status;
    } catch (const Error&) {
      status = 0;
    }
    const std::lock_guard lock(mutex);
    statuses[id] = status;
  };
  const auto arrivals = [&fleet] {
    return fleet.target(0).arrivals() + fleet.target(1).arrivals();
  };
  std::vector<std::jthread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(call, "early-" + std::to_string(i));
  }
  BOOST_TEST(Eventually([&] { return arrivals() > 0; }));
  fleet.SignalHost(0, SIGTERM);
  // Well before the host stops accepting, also on a busy machine.
  std::this_thread::sleep_for(milliseconds(1'500));
  for (int i = 0; i < kLateCallers; ++i) {
    callers.emplace_back(call, "late-" + std::to_string(i));
  }
  callers.clear();
  BOOST_TEST(fleet.WaitForExit(0));
  BOOST_TEST(statuses.size() == kCallers + kLateCallers);
  for (const auto& [id, status] : statuses) {
    const bool ran = fleet.target(0).executions().contains(id) ||
                     fleet.target(1).executions().contains(id);
    // 503 guarantees that the request did not run.
    BOOST_TEST((status == 502 || status == 504 || (status == 503 && !ran)),
               id << ": " << status);
  }
}

// Guards against a second execution after lost answers or failures of targets.
BOOST_AUTO_TEST_CASE(NonIdempotentRequestsRunAtMostOnce) {
  Fleet fleet(25'500);
  fleet.target(1).faults.rejects_requests = true;
  for (int i = 0; i < 20; ++i) {
    constexpr std::array<int, 4> kStatuses = {500, 503, 429, 408};
    fleet.target(0).faults.failure_status =
        kStatuses.at(static_cast<std::size_t>(i) % kStatuses.size());
    const std::string id = fleet.NextId();
    const HttpResponse answer = fleet.Get(0, "/one/x", id, kDeadline);
    const int runs = static_cast<int>(fleet.target(0).executions().count(id) +
                                      fleet.target(1).executions().count(id));
    BOOST_TEST(runs <= 1);
    if (PromisesNotRun(answer.status)) {
      BOOST_TEST(runs == 0);
    }
  }
  for (const auto& [id, count] : fleet.target(0).executions()) {
    BOOST_TEST(count <= 1);
  }
}

// Guards against keys of callers that reach targets, logs, metrics or answers,
// and against an account whose limit each host applies on its own.
BOOST_AUTO_TEST_CASE(AccountsAreLimitedAndTheirKeysStaySecret) {
  constexpr std::string_view kWrongKey = "wrong-secret-key";
  constexpr int kRequests = 150;
  Fleet fleet(26'500);
  std::string output;
  std::map<int, int> statuses;
  const auto ask = [&fleet](std::size_t host) {
    return fleet.Get(host, "/account/x", fleet.NextId(), kDeadline,
                     Fleet::kKey);
  };
  // The hosts learn from their registrations which of them keep the usage.
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    BOOST_TEST(Eventually([&] { return ask(host).status != 503; }));
  }
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    const HttpResponse answer =
        ask(static_cast<std::size_t>(i) % fleet.hosts());
    ++statuses[answer.status];
    output += answer.body;
    std::this_thread::sleep_for(kPollInterval);
  }
  const auto took = std::chrono::steady_clock::now() - start;
  const HttpResponse refused =
      fleet.Get(0, "/account/x", fleet.NextId(), kDeadline, kWrongKey);
  BOOST_TEST((refused.status == 401 || refused.status == 503));
  output += refused.body;
  std::size_t runs = 0;
  for (std::size_t i = 0; i < fleet.target_count(); ++i) {
    runs += fleet.target(i).AccountRuns(std::string(Fleet::kAccount)).size();
    BOOST_TEST(!fleet.target(i).received_key());
  }
  // Buckets are nearly empty after a start, so only the rate is certain.
  const double seconds = std::chrono::duration<double>(took).count();
  BOOST_TEST(static_cast<double>(runs) >= 0.7 * Fleet::kAccountRate * seconds);
  if (took < Fleet::kLimitWindow) {
    BOOST_TEST(runs <= fleet.MaxAccountRuns());
    BOOST_TEST(statuses[429] > 0);
  }
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    output += fleet.Metrics(host) + fleet.Log(host);
  }
  BOOST_TEST(output.find(Fleet::kKey) == std::string::npos);
  BOOST_TEST(output.find(kWrongKey) == std::string::npos);
  BOOST_TEST(output.find("account") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
