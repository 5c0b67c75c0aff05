#include <array>
#include <cstdio>

#include "src/net/http_client.h"
#include "util/common/command_line.h"
#include "util/common/control_server.h"
#include "util/common/named_values.h"
#include "util/common/program.h"
#include "util/host_list_standin/host_list_service.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 4> kOptions = {{
    {"listen", "IP:port", "address of the host list"},
    {"control", "IP:port", "address of the control interface"},
    {"host", "id=ID,address=IP:port,domain=NAME", "host; may be repeated"},
    {"lag-ms", "N", "time until a change is listed (default 0)"},
}};

int Run(int argc, const char** argv) {
  const CommandLine options(argc, argv, kOptions);
  const HostPort listen =
      ParseHostPort(options.Get("listen", "127.0.0.1:7010"));
  boost::asio::io_context context;
  const Clock clock;
  const auto service = std::make_shared<HostListService>(
      clock, std::chrono::milliseconds(options.Integer("lag-ms", 0)));
  for (const std::string& host : options.All("host")) {
    const boost::json::value members =
        ParseNamedValues(host, {"id", "address", "domain", "state"});
    service->AddInitial(
        detail::JsonReader(members, "--host", ErrorKind::kBadSettings));
  }
  const auto server = std::make_shared<HttpServer>(
      context, HttpServerLimits(),
      [service](const HttpRequest& request, const HttpResponder& respond) {
        service->Handle(request, respond);
      });
  server->Listen(listen.host, listen.port);
  const auto control = ServeControl(
      context, options.Get("control", ""),
      [service](const HttpRequest& request, const HttpResponder& respond) {
        service->HandleControl(request, respond);
      });
  std::printf("listen %s:%u\nready\n", listen.host.c_str(), server->port());
  std::fflush(stdout);
  RunUntilSignal(context, 1);
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("host-list-standin", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
