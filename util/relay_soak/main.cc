#include <array>
#include <cstdio>

#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/relay_soak/soak.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 7> kOptions = {{
    {"programs", "DIRECTORY", "directory of auburnyardd (default build)"},
    {"seed", "N", "seed of the faults and callers (default 1)"},
    {"seconds", "N", "duration of fault injection (default 20)"},
    {"hosts-per-domain", "N", "entry hosts in each of 3 domains (default 1)"},
    {"extra-hosts", "N", "further hosts in the first domain (default 0)"},
    {"logs", "DIRECTORY", "keeps the logs of the hosts there"},
    {"base-port", "N", "first port on loopback (default 26000)"},
}};

int Run(int argc, const char** argv) {
  const CommandLine line(argc, argv, kOptions);
  SoakOptions options;
  options.program_directory = line.Get("programs", "build");
  options.seed = line.Integer("seed", 1);
  options.duration = std::chrono::seconds(line.Integer("seconds", 20));
  options.hosts_per_domain = line.Integer("hosts-per-domain", 1);
  options.extra_hosts = line.Integer("extra-hosts", 0);
  options.log_directory = line.Get("logs", "");
  options.base_port =
      static_cast<std::uint16_t>(line.Integer("base-port", 26'000));
  Soak soak(options);
  const std::vector<std::string> violations = soak.Run();
  for (const auto& [fault, count] : soak.faults()) {
    std::printf("fault: %s: %d\n", fault.c_str(), count);
  }
  for (const std::string& violation : violations) {
    std::printf("violation: %s\n", violation.c_str());
  }
  std::printf(
      "seed %llu: %llu requests, %llu judged by their configuration, "
      "%zu violations\n",
      static_cast<unsigned long long>(options.seed),
      static_cast<unsigned long long>(soak.requests()),
      static_cast<unsigned long long>(soak.judged()), violations.size());
  return violations.empty() ? 0 : 1;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram(
      "relay-soak", [argc, argv] { return auburnyard::util::Run(argc, argv); });
}
