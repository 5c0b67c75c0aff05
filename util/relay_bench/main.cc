#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/error.h"
#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr std::array<OptionSpec, 6> kOptions = {{
    {"programs", "DIRECTORY", "where auburnyardd is (default build)"},
    {"shards", "N", "shards of each query (default 20)"},
    {"rate", "N", "queries per second over all hosts (default 60)"},
    {"seconds", "N", "time of the load, and before it without (default 5)"},
    {"hosts-per-domain", "N", "entry hosts in each of 3 domains (default 1)"},
    {"base-port", "N", "first port on loopback (default 27000)"},
}};

constexpr milliseconds kDeadline{1'000};
// Threads that send queries; enough that a slow answer does not delay
// other queries.
constexpr std::size_t kCallerThreads = 16;
constexpr milliseconds kReadinessPollInterval{20};
// Time for the hosts to open their connections.
constexpr std::chrono::seconds kSettleTime{2};

struct LoadResult {
  std::vector<double> latencies_ms;
  std::size_t failures = 0;
};

milliseconds ProcessorTime(const RelayFleet& fleet) {
  milliseconds total{0};
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    total += fleet.ProcessorTime(host);
  }
  return total;
}

std::uint64_t CountArrivals(RelayFleet& fleet) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < fleet.target_count(); ++i) {
    total += fleet.target(i).arrivals();
  }
  return total;
}

// Latency counts from the intended start of each query.
LoadResult RunLoad(const RelayFleet& fleet, double rate, double seconds) {
  const auto count = static_cast<std::size_t>(rate * seconds);
  const Steady::time_point start = Steady::now();
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  LoadResult result;
  const auto call = [&](std::size_t number) {
    const auto intended_start =
        start + std::chrono::duration_cast<Steady::duration>(
                    std::chrono::duration<double>(number / rate));
    std::this_thread::sleep_until(intended_start);
    bool failed = false;
    try {
      failed = fleet
                   .Get(number % fleet.hosts(), "/all/x",
                        "bench-" + std::to_string(number), kDeadline)
                   .status != 200;
    } catch (const Error&) {
      failed = true;  // counted and reported
    }
    const std::lock_guard lock(mutex);
    result.failures += failed ? 1 : 0;
    result.latencies_ms.push_back(
        ToMilliseconds(Steady::now() - intended_start));
  };
  {
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < kCallerThreads; ++i) {
      callers.emplace_back([&] {
        for (std::size_t number = next++; number < count; number = next++) {
          call(number);
        }
      });
    }
  }
  std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
  return result;
}

double Quantile(const std::vector<double>& sorted, double share) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted.at(static_cast<std::size_t>(share * last));
}

int Run(int argc, const char** argv) {
  const CommandLine line(argc, argv, kOptions);
  const double rate = line.Number("rate", 60);
  const double seconds = line.Number("seconds", 5);
  RelayFleet fleet({.program_directory = line.Get("programs", "build"),
                    .base_port = static_cast<std::uint16_t>(
                        line.Integer("base-port", 27'000)),
                    .hosts_per_domain = line.Integer("hosts-per-domain", 1),
                    .services = line.Integer("shards", 20)});
  for (std::size_t host = 0; host < fleet.hosts(); ++host) {
    fleet.StartHost(host);
    while (!fleet.Ready(host)) {
      std::this_thread::sleep_for(kReadinessPollInterval);
    }
  }
  std::this_thread::sleep_for(kSettleTime);
  const milliseconds before_idle = ProcessorTime(fleet);
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  const milliseconds idle = ProcessorTime(fleet) - before_idle;
  const std::uint64_t arrivals_before = CountArrivals(fleet);
  const milliseconds before_load = ProcessorTime(fleet);
  const LoadResult load = RunLoad(fleet, rate, seconds);
  const milliseconds busy = ProcessorTime(fleet) - before_load;
  const auto arrivals =
      static_cast<double>(CountArrivals(fleet) - arrivals_before);
  std::printf(
      "queries %zu failed %zu sub-requests %.0f\n"
      "processor time: %.1f us per sub-request (without the idle share: %.1f), "
      "idle %.2f ms per host and second\n"
      "latency: p50 %.1f ms p99 %.1f ms\n",
      load.latencies_ms.size(), load.failures, arrivals,
      1000.0 * ToMilliseconds(busy) / arrivals,
      1000.0 * ToMilliseconds(busy - idle) / arrivals,
      ToMilliseconds(idle) / seconds / static_cast<double>(fleet.hosts()),
      Quantile(load.latencies_ms, 0.5), Quantile(load.latencies_ms, 0.99));
  return load.failures == 0 ? 0 : 1;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("relay-bench", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
