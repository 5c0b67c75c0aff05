#include <array>
#include <cstdio>
#include <thread>

#include "src/net/http_client.h"
#include "src/net/http_server.h"
#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/platform_standin/platform_service.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 4> kOptions = {{
    {"listen", "IP:port", "address of the key-value service"},
    {"initial-keys", "FILE", "JSON object of keys and values to start with"},
    {"threads", "N", "worker threads (default 2)"},
    {"max-connections", "N", "connection limit (default 4096)"},
}};

// Values may be up to 1 MB; JSON escapes can double their size.
constexpr std::uint64_t kMaxBodyBytes = 2'200'000;

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
  HttpServerLimits limits;
  limits.max_connections = options.Integer("max-connections", 4096);
  limits.max_body_bytes = kMaxBodyBytes;
  const auto server = std::make_shared<HttpServer>(
      context, limits,
      [service](const HttpRequest& request, const HttpResponder& respond) {
        service->Handle(request, respond);
      });
  server->Listen(listen.host, listen.port);
  service->Start();
  std::printf("ready %s:%u\n", listen.host.c_str(), server->port());
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
