#include <array>
#include <cstdio>

#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "src/net/http_client.h"
#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/load_driver/load_generator.h"
#include "util/load_driver/load_report.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 8> kOptions = {{
    {"host", "IP:port", "entry host; may be repeated"},
    {"services", "NAME=WEIGHT,...", "services to query"},
    {"classes", "NAME=WEIGHT,...", "priority classes (default normal)"},
    {"rate", "N", "requests per second over all hosts (default 50)"},
    {"duration-ms", "N", "length of the run (default 10000)"},
    {"deadline-ms", "N", "deadline of a request (default 1000)"},
    {"min-coverage", "X", "required coverage (default 0)"},
    {"seed", "N", "seed of arrivals and choices (default 1)"},
}};

LoadOptions ReadOptions(const CommandLine& line) {
  LoadOptions options;
  options.hosts = line.All("host");
  options.services = ParseWeights(line.Get("services", ""));
  options.classes = ParseWeights(line.Get("classes", "normal"));
  options.rate = line.Number("rate", options.rate);
  options.duration =
      std::chrono::milliseconds(line.Integer("duration-ms", 10'000));
  options.deadline =
      std::chrono::milliseconds(line.Integer("deadline-ms", 1'000));
  options.min_coverage = line.Number("min-coverage", 0);
  options.seed = line.Integer("seed", 1);
  for (const std::string& host : options.hosts) {
    ParseHostPort(host);
  }
  if (options.hosts.empty() || options.services.empty() ||
      options.classes.empty() || !(options.rate > 0)) {
    throw Error(ErrorKind::kBadSettings,
                "--host and --services are required and --rate is above 0");
  }
  return options;
}

int Run(int argc, const char** argv) {
  const LoadOptions options = ReadOptions(CommandLine(argc, argv, kOptions));
  boost::asio::io_context context(1);
  LoadGenerator generator(context, options);
  generator.Start();
  context.run();
  std::puts(
      boost::json::serialize(ReportLoad(options, generator.samples())).c_str());
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram("load-driver", [argc, argv] {
    return auburnyard::util::Run(argc, argv);
  });
}
