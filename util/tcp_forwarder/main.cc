#include <array>
#include <cstdio>
#include <vector>

#include "util/common/command_line.h"
#include "util/common/control_server.h"
#include "util/common/program.h"
#include "util/tcp_forwarder/forwarder_control.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 4> kOptions = {{
    {"routes", "FILE", "JSON file with the routes"},
    {"route", "name=NAME,listen=IP:port,server=IP:port",
     "one route; may be repeated"},
    {"control", "IP:port", "address of the control interface"},
    {"threads", "N", "worker threads (default 2)"},
}};

std::vector<RouteOptions> CollectRoutes(const CommandLine& options) {
  std::vector<RouteOptions> routes;
  for (const std::string& file : options.All("routes")) {
    for (RouteOptions& route : ParseRouteFile(ReadFile(file))) {
      routes.push_back(std::move(route));
    }
  }
  for (const std::string& text : options.All("route")) {
    routes.push_back(ParseRouteOption(text));
  }
  return routes;
}

int Run(int argc, const char** argv) {
  const CommandLine options(argc, argv, kOptions);
  boost::asio::io_context context;
  std::vector<std::shared_ptr<Route>> routes;
  for (const RouteOptions& route : CollectRoutes(options)) {
    routes.push_back(std::make_shared<Route>(context, route));
    routes.back()->Listen();
    std::printf("route %s %u %s\n", route.name.c_str(), routes.back()->port(),
                route.server.c_str());
  }
  const auto control = std::make_shared<ForwarderControl>(routes);
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
  return auburnyard::util::RunProgram("tcp-forwarder", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
