#include <filesystem>
#include <fstream>
#include <ostream>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "src/cli/print.h"
#include "src/cli/request_timeline.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

constexpr std::size_t kMaxFiles = 4'096;

void Print(const RequestTimeline& timeline, std::ostream& out) {
  for (const LogLine& line : timeline.lines) {
    boost::json::object fields = line.fields;
    fields.erase("time");
    fields.erase("level");
    fields.erase("event");
    out << line.time << ' ' << line.host << ' ' << line.event << ' '
        << boost::json::serialize(fields) << '\n';
  }
  out << "cause: " << timeline.cause << '\n';
}

void Run(const Options& options, std::ostream& out) {
  const std::string request = options.GetRequired("request");
  std::vector<LogLine> lines;
  std::size_t unreadable_lines = 0;
  for (const std::string& path : options.RequireArguments(1, kMaxFiles)) {
    std::ifstream file(path);
    if (!file) {
      throw Error(ErrorKind::kBadRequest, path + ": cannot be read");
    }
    const std::string host = std::filesystem::path(path).stem();
    for (LogLine& line : ReadLog(file, host, unreadable_lines)) {
      lines.push_back(std::move(line));
    }
  }
  const RequestTimeline timeline =
      BuildRequestTimeline(std::move(lines), request);
  if (options.Has("json")) {
    boost::json::array rows;
    for (const LogLine& line : timeline.lines) {
      boost::json::object row = line.fields;
      row["host"] = line.host;
      rows.push_back(std::move(row));
    }
    PrintJson(boost::json::object{{"request", request},
                                  {"lines", std::move(rows)},
                                  {"cause", timeline.cause},
                                  {"unreadable_lines", unreadable_lines}},
              out);
    return;
  }
  Print(timeline, out);
  if (unreadable_lines > 0) {
    out << unreadable_lines << " lines contain no JSON object\n";
  }
}

}  // namespace

Command LogCommand() {
  return {
      .name = "log",
      .arguments = "FILE...",
      .summary = "Merges the logs of hosts into the timeline of one request.",
      .options = {{"request", "ID", "identifier of the request"}},
      .run = Run};
}

}  // namespace auburnyard::cli
