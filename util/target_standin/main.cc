#include <array>
#include <cstdio>
#include <random>
#include <vector>

#include "util/common/command_line.h"
#include "util/common/control_server.h"
#include "util/common/program.h"
#include "util/target_standin/target_control.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 4> kOptions = {{
    {"control", "IP:port", "address of the control interface"},
    {"targets", "FILE", "JSON file with the targets"},
    {"target", "NAME=VALUE,...", "one target; may be repeated"},
    {"threads", "N", "worker threads (default 2)"},
}};

std::vector<TargetOptions> CollectTargets(const CommandLine& options) {
  std::vector<TargetOptions> targets;
  for (const std::string& file : options.All("targets")) {
    for (TargetOptions& target : ParseTargetFile(ReadFile(file))) {
      targets.push_back(std::move(target));
    }
  }
  for (const std::string& text : options.All("target")) {
    targets.push_back(ParseTargetOption(text));
  }
  return targets;
}

int Run(int argc, const char** argv) {
  const CommandLine options(argc, argv, kOptions);
  boost::asio::io_context context;
  const Clock clock;
  std::vector<std::shared_ptr<TargetService>> services;
  for (const TargetOptions& target : CollectTargets(options)) {
    services.push_back(std::make_shared<TargetService>(context, clock, target,
                                                       std::random_device()()));
    services.back()->Listen();
    std::printf("target %s %s:%u\n", target.id.c_str(), target.host.c_str(),
                services.back()->port());
  }
  const auto control = std::make_shared<TargetControl>(services);
  const auto server = ServeControl(
      context, options.Get("control", ""),
      [control](const HttpRequest& request, const HttpResponder& respond) {
        control->Handle(request, respond);
      });
  std::printf("ready\n");
  std::fflush(stdout);
  RunUntilSignal(context, options.Integer("threads", 2));
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("target-standin", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
