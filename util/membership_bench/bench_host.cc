#include "util/membership_bench/bench_host.h"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <thread>

#include <sys/resource.h>
#include <unistd.h>

#include "src/daemon/membership_service.h"

namespace auburnyard {

namespace {

struct UsageSample {
  double cpu_seconds = 0.0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t messages = 0;
};

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * 1e-6;
}

template <typename Counters>
std::uint64_t Sum(const Counters& counters) {
  std::uint64_t sum = 0;
  for (const auto& counter : counters) {
    sum += counter.load();
  }
  return sum;
}

UsageSample TakeSample(const MembershipService& service) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const PeerBusCounters& counters = service.counters();
  return {Seconds(usage.ru_utime) + Seconds(usage.ru_stime),
          Sum(counters.sent_bytes),
          Sum(counters.received_bytes) + service.list_bytes(),
          Sum(counters.sent_messages)};
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string AddressOf(std::size_t index, const BenchLayout& layout) {
  return "127.0.0.1:" + std::to_string(layout.base_port + index);
}

}  // namespace

Settings MakeBenchSettings(std::size_t index, const BenchLayout& layout) {
  Settings settings;
  settings.id = "host-" + std::to_string(index);
  settings.domain = "domain-" + std::to_string(index % layout.domains);
  settings.ownership_group =
      std::to_string(index / layout.domains / layout.group_size);
  settings.peer_listen = AddressOf(index, layout);
  settings.host_list = layout.host_list;
  settings.fleet_key = "membership-bench-key";
  return settings;
}

ControlCost RunBenchHost(std::size_t index, const BenchLayout& layout) {
  boost::asio::io_context context;
  const auto work = boost::asio::make_work_guard(context);
  const Clock clock;
  const auto service = std::make_shared<MembershipService>(
      context, MakeBenchSettings(index, layout), clock, MembershipHooks{});
  service->Start();
  std::thread runner([&context] { context.run(); });
  std::this_thread::sleep_for(layout.warm_up);
  const UsageSample first = TakeSample(*service);
  std::this_thread::sleep_for(layout.measured);
  const UsageSample last = TakeSample(*service);
  ControlCost cost;
  const auto time = static_cast<double>(layout.measured.count());
  cost.cpu_percent = (last.cpu_seconds - first.cpu_seconds) / time * 100.0;
  cost.resident_mb = ResidentMegabytes();
  const auto rate = [time](std::uint64_t from, std::uint64_t to) {
    return static_cast<double>(to - from) / time;
  };
  cost.sent_bytes_per_s = rate(first.sent_bytes, last.sent_bytes);
  cost.received_bytes_per_s = rate(first.received_bytes, last.received_bytes);
  cost.messages_per_s = rate(first.messages, last.messages);
  cost.live_hosts = service->LiveCount();
  cost.admitted = service->Admitted();
  service->Stop();
  context.stop();
  runner.join();
  return cost;
}

}  // namespace auburnyard
