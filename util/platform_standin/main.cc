#include <array>
#include <cstdio>

#include "src/net/http_client.h"
#include "util/common/command_line.h"
#include "util/common/control_server.h"
#include "util/common/program.h"
#include "util/platform_standin/platform_front.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 6> kOptions = {{
    {"listen", "IP:port", "address of the key-value service"},
    {"control", "IP:port", "address of the control interface"},
    {"initial-keys", "FILE", "JSON object of keys and values to start with"},
    {"threads", "N", "worker threads (default 2)"},
    {"max-connections", "N", "connection limit (default 4096)"},
    {"seed", "N", "seed for choosing lost replies (default 1)"},
}};

int Run(int argc, const char** argv) {
  const CommandLine options(argc, argv, kOptions);
  const HostPort listen =
      ParseHostPort(options.Get("listen", "127.0.0.1:7000"));
  boost::asio::io_context context;
  const Clock clock;
  const auto service = std::make_shared<PlatformService>(context, clock);
  if (options.Has("initial-keys")) {
    service->LoadInitialKeys(ReadFile(options.Get("initial-keys", "")));
  }
  const auto front = std::make_shared<PlatformFront>(
      context, clock, service, options.Integer("seed", 1));
  front->Listen(listen.host, listen.port,
                options.Integer("max-connections", 4096));
  service->Start();
  const auto control = ServeControl(
      context, options.Get("control", ""),
      [front](const HttpRequest& request, const HttpResponder& respond) {
        front->HandleControl(request, respond);
      });
  std::printf("listen %s:%u\nready\n", listen.host.c_str(), front->port());
  std::fflush(stdout);
  RunUntilSignal(context, options.Integer("threads", 2));
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("platform-standin", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
