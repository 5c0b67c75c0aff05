#include <fstream>
#include <ostream>
#include <sstream>

#include <boost/json/parse.hpp>

#include "auburnyard/replay.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

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

boost::json::object ToJson(const ReplayReport& report) {
  boost::json::array differences;
  for (const ReplayDifference& difference : report.differences) {
    differences.push_back(
        {{"line", difference.line},
         {"kind", difference.unstated ? "unstated" : "missing"},
         {"record",
          boost::json::parse(SerializeDecisionRecord(difference.record))}});
  }
  return {{"inputs", report.inputs},
          {"outcomes", report.outcomes},
          {"differences", std::move(differences)}};
}

void Run(const Options& options, std::ostream& out) {
  const ReplayReport report =
      Replay(LoadTrace(options.RequireArguments(1, 1).front()));
  if (options.Has("record")) {
    out << SerializeTrace(report.actual);
    return;
  }
  if (options.Has("json")) {
    PrintJson(ToJson(report), out);
  } else {
    out << FormatReplayReport(report);
  }
  if (!report.differences.empty()) {
    throw Error(ErrorKind::kCheckFailed,
                std::to_string(report.differences.size()) +
                    " outcomes differ from the trace");
  }
}

}  // namespace

Command ReplayCommand() {
  return {
      .name = "replay",
      .arguments = "TRACE",
      .summary =
          "Replays a trace and compares the outcomes with the recorded ones.",
      .options = {{"record", nullptr,
                   "print the trace with the replayed outcomes"}},
      .run = Run};
}

}  // namespace auburnyard::cli
