#include <array>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/relay_soak/soak_caller.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 6> kOptions = {{
    {"programs", "DIRECTORY", "directory of auburnyardd (default build)"},
    {"shape", "NAME", "only this shape of bytes (default all)"},
    {"callers", "N", "callers of the service that floods (default 250)"},
    {"seconds", "N", "duration of each flood (default 5)"},
    {"memory-mb", "N", "memory of each host (default 260; 0: not stated)"},
    {"base-port", "N", "first port on loopback (default 27000)"},
}};
constexpr std::size_t kFloodedService = 1;
constexpr std::size_t kFloodTargets = 4;
constexpr std::size_t kSoundCallers = 4;
constexpr int kStatusOk = 200;
constexpr double kMegabyte = 1'024.0 * 1'024.0;

struct Counts {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> served{0};
};

void CallRepeatedly(const std::string& address,
                    const std::string& path,
                    const std::string& name,
                    const std::atomic<bool>& stopping,
                    Counts& counts) {
  SoakCaller caller;
  for (int i = 0; !stopping; ++i) {
    ++counts.sent;
    const auto answer =
        caller.Get(address, path, name + "-" + std::to_string(i));
    if (answer && answer->result_int() == kStatusOk) {
      ++counts.served;
    }
  }
}

bool WaitUntilReady(const RelayFleet& fleet) {
  for (int i = 0; i < 200; ++i) {
    if (fleet.Ready(0) && fleet.Ready(1)) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  return false;
}

// Floods two new hosts and prints what callers of other services and the memory
// of the hosts experience.
void Play(const CommandLine& line, FloodShape shape) {
  RelayFleet fleet({.program_directory = line.Get("programs", "build"),
                    .base_port = static_cast<std::uint16_t>(
                        line.Integer("base-port", 27'000)),
                    .memory_mb = line.Integer("memory-mb", 260)});
  fleet.StartHost(0);
  fleet.StartHost(1);
  if (!WaitUntilReady(fleet)) {
    std::printf("%s: the hosts are not ready\n", ToString(shape).data());
    return;
  }
  fleet.FloodService(kFloodedService, shape, kFloodTargets);
  std::atomic<bool> stopping{false};
  Counts flooded;
  Counts sound;
  {
    std::vector<std::jthread> threads;
    const std::size_t callers = line.Integer("callers", 250);
    for (std::size_t i = 0; i < callers + kSoundCallers; ++i) {
      const bool is_sound = i < kSoundCallers;
      threads.emplace_back([&, i, is_sound] {
        CallRepeatedly(fleet.Address(i % 2), is_sound ? "/one/x" : "/v1/x",
                       "c" + std::to_string(i), stopping,
                       is_sound ? sound : flooded);
      });
    }
    std::this_thread::sleep_for(
        std::chrono::seconds(line.Integer("seconds", 5)));
    stopping = true;
  }
  for (std::size_t host = 0; host < 2; ++host) {
    if (fleet.HasExited(host)) {
      std::printf("%s: host %zu ended\n", ToString(shape).data(), host);
      return;
    }
  }
  std::printf(
      "%-16s peak %.0f and %.0f MB; other services: %llu of %llu served; the "
      "flooded one: %llu of %llu\n",
      ToString(shape).data(),
      static_cast<double>(fleet.PeakMemory(0)) / kMegabyte,
      static_cast<double>(fleet.PeakMemory(1)) / kMegabyte,
      static_cast<unsigned long long>(sound.served),
      static_cast<unsigned long long>(sound.sent),
      static_cast<unsigned long long>(flooded.served),
      static_cast<unsigned long long>(flooded.sent));
  std::fflush(stdout);
}

int Run(int argc, const char** argv) {
  const CommandLine line(argc, argv, kOptions);
  const std::string only = line.Get("shape", "");
  for (const FloodShape shape : AllFloodShapes()) {
    if (only.empty() || only == ToString(shape)) {
      Play(line, shape);
    }
  }
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("flood-bench", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
