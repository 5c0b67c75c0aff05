#ifndef AUBURNYARD_UTIL_MEMBERSHIP_BENCH_BENCH_HOST_H_
#define AUBURNYARD_UTIL_MEMBERSHIP_BENCH_BENCH_HOST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "src/daemon/settings.h"
#include "util/membership_bench/control_cost.h"

namespace auburnyard {

/// Fleet layout of a run.
struct BenchLayout {
  /// Below the range of ports that the kernel gives to outgoing connections.
  std::uint16_t base_port = 28'500;
  std::size_t domains = 3;
  std::size_t group_size = 8;
  std::chrono::seconds warm_up{20};
  std::chrono::seconds measured{10};
  std::string host_list;
};

Settings MakeBenchSettings(std::size_t index, const BenchLayout& layout);
/// Runs one host in this process and measures it.
ControlCost RunBenchHost(std::size_t index, const BenchLayout& layout);

}  // namespace auburnyard

#endif  // AUBURNYARD_UTIL_MEMBERSHIP_BENCH_BENCH_HOST_H_
