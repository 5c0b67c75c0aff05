#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "util/common/command_line.h"
#include "util/common/program.h"
#include "util/experiment/plot.h"
#include "util/experiment/trial.h"

namespace auburnyard::util {

namespace {

constexpr std::array<OptionSpec, 13> kOptions = {{
    {"seconds", "N", "length of the load of each run (default 10)"},
    {"scenario", "NAME", "only this scenario; may be repeated"},
    {"policy", "NAME", "only this policy; may be repeated"},
    {"repeats", "N", "repeats of each run (default 1)"},
    {"shape", "NAME", "booking (default) or archive"},
    {"rate", "N", "base rate in queries per second (default 30)"},
    {"median-ms", "N", "median latency of a target (default 40)"},
    {"seed", "N", "seed of the first repeat (default 1)"},
    {"json", "FILE", "write the results to a file"},
    {"plot", "FILE.svg", "plot the last run of domain_out_and_back"},
    {"build", "DIRECTORY", "build directory (default build)"},
    {"base-port", "N", "first loopback port (default 21000)"},
    {"short", nullptr, "two scenarios and two policies, 2 s each"},
}};

constexpr const char* kDefaultPolicy = "owner";
constexpr const char* kBaselinePolicy = "random";

struct Selection {
  std::vector<std::string> scenarios;
  std::vector<std::string> policies = {"random", "two_choice", "owner"};
  std::uint64_t repeats = 1;
};

Selection Select(const CommandLine& line) {
  Selection selection;
  selection.repeats = line.Integer("repeats", 1);
  if (line.Has("policy")) {
    selection.policies = line.All("policy");
  } else if (line.Has("short")) {
    selection.policies = {kBaselinePolicy, kDefaultPolicy};
  }
  if (line.Has("scenario")) {
    selection.scenarios = line.All("scenario");
  } else if (line.Has("short")) {
    selection.scenarios = {"stragglers", "cold_target"};
  }
  return selection;
}

TrialOptions ReadTrialOptions(const CommandLine& line,
                              const std::string& work_directory) {
  TrialOptions options;
  options.cluster.program_directory = line.Get("build", "build");
  options.cluster.work_directory = work_directory;
  options.cluster.base_port =
      static_cast<std::uint16_t>(line.Integer("base-port", 21'000));
  options.cluster.median_ms = line.Number("median-ms", 40);
  options.shape = line.Get("shape", "booking");
  options.rate = line.Number("rate", options.rate);
  options.duration =
      std::chrono::seconds(line.Integer("seconds", line.Has("short") ? 2 : 10));
  return options;
}

bool IsSelected(const std::vector<std::string>& names, std::string_view name) {
  return names.empty() ||
         std::find(names.begin(), names.end(), name) != names.end();
}

/// Runs all policies of a scenario before the next scenario, so that a change
/// in the load of the machine affects all policies alike.
boost::json::array RunAll(const CommandLine& line, TrialOptions options) {
  const Selection selection = Select(line);
  boost::json::array results;
  for (std::uint64_t repeat = 0; repeat < selection.repeats; ++repeat) {
    for (const Scenario& scenario : AllScenarios()) {
      if (!IsSelected(selection.scenarios, scenario.name)) {
        continue;
      }
      for (const std::string& policy : selection.policies) {
        options.cluster.policy = policy;
        options.cluster.seed = line.Integer("seed", 1) + repeat;
        options.repeat = static_cast<int>(repeat);
        const TrialResult result = RunTrial(scenario, options);
        std::cerr << boost::json::serialize(result.report) << '\n';
        results.push_back(result.report);
        if (line.Has("plot") && scenario.name == "domain_out_and_back") {
          std::ofstream(line.Get("plot", ""))
              << PlotSamples(policy, result.samples, options.duration);
        }
      }
    }
  }
  return results;
}

int Run(int argc, const char** argv) {
  const CommandLine line(argc, argv, kOptions);
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() /
      ("auburnyard-experiment-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  const boost::json::object document = {
      {"default_policy", kDefaultPolicy},
      {"baseline_policy", kBaselinePolicy},
      {"shape", line.Get("shape", "booking")},
      {"results", RunAll(line, ReadTrialOptions(line, directory.string()))}};
  std::filesystem::remove_all(directory);
  const std::string text = boost::json::serialize(document);
  if (line.Has("json")) {
    std::ofstream(line.Get("json", "")) << text << '\n';
  } else {
    std::puts(text.c_str());
  }
  return 0;
}

}  // namespace

}  // namespace auburnyard::util

int main(int argc, const char** argv) {
  return auburnyard::util::RunProgram(
      "experiment", [argc, argv] { return auburnyard::util::Run(argc, argv); });
}
