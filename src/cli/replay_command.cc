#include "src/cli/replay_command.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "auburnyard/replay.h"

namespace auburnyard {

namespace {

constexpr std::string_view kUsage =
    "usage: auburnyard replay TRACE [--json] [--record]";
constexpr int kExitDifferent = 1;

struct ReplayOptions {
  std::string path;
  bool json = false;
  bool record = false;
};

ReplayOptions ParseOptions(std::span<const std::string> arguments) {
  ReplayOptions options;
  for (const std::string& argument : arguments) {
    if (argument == "--json") {
      options.json = true;
    } else if (argument == "--record") {
      options.record = true;
    } else if (options.path.empty() && !argument.starts_with("--")) {
      options.path = argument;
    } else {
      throw Error(ErrorKind::kBadRequest, "unexpected argument \"" + argument +
                                              "\"; " + std::string(kUsage));
    }
  }
  if (options.path.empty()) {
    throw Error(ErrorKind::kBadRequest, std::string(kUsage));
  }
  return options;
}

Trace LoadTrace(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error(ErrorKind::kNotFound, path + ": the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseTrace(text.str());
  } catch (const Error& error) {
    throw Error(error.kind(), path + ": " + error.what());
  }
}

std::string ToJson(const ReplayReport& report) {
  boost::json::array differences;
  for (const ReplayDifference& difference : report.differences) {
    differences.push_back(
        {{"line", difference.line},
         {"kind", difference.unstated ? "unstated" : "missing"},
         {"record",
          boost::json::parse(SerializeDecisionRecord(difference.record))}});
  }
  return boost::json::serialize(
      boost::json::object{{"inputs", report.inputs},
                          {"outcomes", report.outcomes},
                          {"differences", std::move(differences)}});
}

}  // namespace

int RunReplay(std::span<const std::string> arguments) {
  const ReplayOptions options = ParseOptions(arguments);
  const ReplayReport report = Replay(LoadTrace(options.path));
  if (options.record) {
    std::cout << SerializeTrace(report.actual);
    return 0;
  }
  std::cout << (options.json ? ToJson(report) + "\n"
                             : FormatReplayReport(report));
  return report.differences.empty() ? 0 : kExitDifferent;
}

}  // namespace auburnyard
