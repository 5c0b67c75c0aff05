// Measures the control cost of membership per host: starts one process per host
// on loopback addresses, for several fleet sizes, and fits a line over the
// size.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <popt.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "src/net/http_server.h"
#include "util/membership_bench/bench_host.h"

namespace auburnyard {

namespace {

struct Options {
  int host = -1;
  int base_port = 28'500;
  int warm_up_s = 20;
  int measured_s = 10;
  char* sizes = nullptr;
  char* host_list = nullptr;
};

struct Child {
  pid_t pid = 0;
  FILE* output = nullptr;
};

BenchLayout MakeLayout(const Options& options) {
  BenchLayout layout;
  layout.base_port = static_cast<std::uint16_t>(options.base_port);
  layout.warm_up = std::chrono::seconds(options.warm_up_s);
  layout.measured = std::chrono::seconds(options.measured_s);
  layout.host_list = options.host_list == nullptr ? "" : options.host_list;
  return layout;
}

int RunHost(const Options& options) {
  const ControlCost cost =
      RunBenchHost(static_cast<std::size_t>(options.host), MakeLayout(options));
  std::cout << cost.cpu_percent << ' ' << cost.resident_mb << ' '
            << cost.sent_bytes_per_s << ' ' << cost.received_bytes_per_s << ' '
            << cost.messages_per_s << ' ' << cost.live_hosts << ' '
            << cost.admitted << '\n';
  return 0;
}

std::vector<std::string> Arguments(std::size_t index,
                                   const BenchLayout& layout) {
  return {"membership-bench",
          "--host=" + std::to_string(index),
          "--base-port=" + std::to_string(layout.base_port),
          "--warm-up=" + std::to_string(layout.warm_up.count()),
          "--measured=" + std::to_string(layout.measured.count()),
          "--host-list=" + layout.host_list};
}

Child StartChild(std::size_t index, const BenchLayout& layout) {
  std::vector<std::string> arguments = Arguments(index, layout);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  int ends[2] = {0, 0};
  if (pipe(ends) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, ends[0]);
  posix_spawn_file_actions_addclose(&actions, ends[1]);
  Child child;
  const int error = posix_spawn(&child.pid, "/proc/self/exe", &actions, nullptr,
                                pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (error != 0) {
    throw std::runtime_error("cannot start a host process");
  }
  child.output = fdopen(ends[0], "r");
  return child;
}

bool ReadCost(const Child& child, ControlCost& cost) {
  int admitted = 0;
  unsigned long live = 0;
  const int fields = std::fscanf(
      child.output, "%lf %lf %lf %lf %lf %lu %d", &cost.cpu_percent,
      &cost.resident_mb, &cost.sent_bytes_per_s, &cost.received_bytes_per_s,
      &cost.messages_per_s, &live, &admitted);
  std::fclose(child.output);
  int status = 0;
  waitpid(child.pid, &status, 0);
  cost.live_hosts = live;
  cost.admitted = admitted != 0;
  constexpr int kFields = 7;
  return fields == kFields && status == 0;
}

std::string HostListBody(std::size_t size, const BenchLayout& layout) {
  std::string body = R"({"hosts":[)";
  for (std::size_t i = 0; i < size; ++i) {
    const Settings settings = MakeBenchSettings(i, layout);
    body += std::string(i == 0 ? "" : ",") + R"({"id":")" + settings.id +
            R"(","address":")" + settings.peer_listen + R"(","domain":")" +
            settings.domain + R"(","state":"live"})";
  }
  return body + "]}";
}

double Median(const std::vector<ControlCost>& costs,
              double ControlCost::*member) {
  std::vector<double> values;
  for (const ControlCost& cost : costs) {
    values.push_back(cost.*member);
  }
  std::sort(values.begin(), values.end());
  return values.empty() ? 0.0 : values.at(values.size() / 2);
}

std::vector<ControlCost> MeasureFleet(std::size_t size,
                                      const BenchLayout& layout) {
  std::vector<Child> children;
  for (std::size_t i = 0; i < size; ++i) {
    children.push_back(StartChild(i, layout));
  }
  std::vector<ControlCost> costs;
  for (const Child& child : children) {
    ControlCost cost;
    if (ReadCost(child, cost)) {
      costs.push_back(cost);
    }
  }
  return costs;
}

/// Least-squares slope of `values` over `sizes`.
double Slope(const std::vector<double>& sizes,
             const std::vector<double>& values) {
  const auto count = static_cast<double>(sizes.size());
  double x = 0.0;
  double y = 0.0;
  double xx = 0.0;
  double xy = 0.0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    x += sizes[i];
    y += values[i];
    xx += sizes[i] * sizes[i];
    xy += sizes[i] * values[i];
  }
  const double divisor = count * xx - x * x;
  return divisor == 0.0 ? 0.0 : (count * xy - x * y) / divisor;
}

std::vector<double> ParseSizes(const char* text) {
  std::istringstream stream(text == nullptr ? "3,12,30,60" : text);
  std::vector<double> sizes;
  for (std::string field; std::getline(stream, field, ',');) {
    sizes.push_back(std::stod(field));
  }
  return sizes;
}

void PrintFleet(std::size_t size, const std::vector<ControlCost>& costs) {
  const auto complete = std::count_if(
      costs.begin(), costs.end(), [size](const ControlCost& cost) {
        return cost.admitted && cost.live_hosts == size;
      });
  std::printf("%5zu %9.3f %9.2f %9.0f %9.0f %9.1f %6zu of %zu\n", size,
              Median(costs, &ControlCost::cpu_percent),
              Median(costs, &ControlCost::resident_mb),
              Median(costs, &ControlCost::sent_bytes_per_s),
              Median(costs, &ControlCost::received_bytes_per_s),
              Median(costs, &ControlCost::messages_per_s),
              static_cast<std::size_t>(complete), size);
  std::fflush(stdout);
}

int RunFleets(const Options& options) {
  BenchLayout layout = MakeLayout(options);
  std::string body;
  boost::asio::io_context context;
  const auto server = std::make_shared<HttpServer>(
      context, HttpServerLimits{},
      [&body](const HttpRequest&, const HttpResponder& respond) {
        HttpResponse response;
        response.body = body;
        respond(std::move(response));
      });
  server->Listen("127.0.0.1", 0);
  layout.host_list = "127.0.0.1:" + std::to_string(server->port());
  const std::vector<double> sizes = ParseSizes(options.sizes);
  std::vector<std::vector<double>> series(4);
  std::puts(
      "hosts     cpu %  resident  sent B/s  recv B/s  sent m/s  complete");
  for (const double size : sizes) {
    const auto count = static_cast<std::size_t>(size);
    body = HostListBody(count, layout);
    context.restart();
    std::thread runner([&context] { context.run(); });
    const std::vector<ControlCost> costs = MeasureFleet(count, layout);
    context.stop();
    runner.join();
    PrintFleet(count, costs);
    series[0].push_back(Median(costs, &ControlCost::cpu_percent));
    series[1].push_back(Median(costs, &ControlCost::resident_mb));
    series[2].push_back(Median(costs, &ControlCost::sent_bytes_per_s));
    series[3].push_back(Median(costs, &ControlCost::received_bytes_per_s));
  }
  std::printf(
      "slope per host: cpu %.5f %%, resident %.4f MB, sent %.2f B/s, "
      "received %.2f B/s\n",
      Slope(sizes, series[0]), Slope(sizes, series[1]), Slope(sizes, series[2]),
      Slope(sizes, series[3]));
  return 0;
}

}  // namespace

}  // namespace auburnyard

int main(int argc, const char** argv) {
  auburnyard::Options options;
  const poptOption table[] = {
      {"sizes", 0, POPT_ARG_STRING, &options.sizes, 0,
       "fleet sizes, default 3,12,30,60", "LIST"},
      {"warm-up", 0, POPT_ARG_INT, &options.warm_up_s, 0,
       "time before the measurement", "SECONDS"},
      {"measured", 0, POPT_ARG_INT, &options.measured_s, 0, "measured time",
       "SECONDS"},
      {"base-port", 0, POPT_ARG_INT, &options.base_port, 0,
       "peer port of the first host", "PORT"},
      {"host", 0, POPT_ARG_INT | POPT_ARGFLAG_DOC_HIDDEN, &options.host, 0,
       nullptr, nullptr},
      {"host-list", 0, POPT_ARG_STRING | POPT_ARGFLAG_DOC_HIDDEN,
       &options.host_list, 0, nullptr, nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("membership-bench", argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1) {
    std::cerr << "membership-bench: " << poptStrerror(result) << '\n';
    return 2;
  }
  try {
    return options.host >= 0 ? auburnyard::RunHost(options)
                             : auburnyard::RunFleets(options);
  } catch (const std::exception& error) {
    std::cerr << "membership-bench: " << error.what() << '\n';
    return 1;
  }
}
