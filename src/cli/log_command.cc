#include <filesystem>
#include <fstream>
#include <iomanip>
#include <ostream>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "src/cli/log_line.h"
#include "src/cli/loss_table.h"
#include "src/cli/print.h"
#include "src/cli/request_timeline.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

constexpr std::size_t kMaxFiles = 4'096;
constexpr std::chrono::seconds kLossWindow{2};
constexpr int kRouteColumnWidth = 16;
constexpr int kNameColumnWidth = 24;
constexpr int kCountColumnWidth = 10;

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

void Print(const LossTable& table, std::ostream& out) {
  out << std::left << std::setw(kRouteColumnWidth) << "route"
      << std::setw(kNameColumnWidth) << "outcome" << std::setw(kNameColumnWidth)
      << "cause" << std::setw(kNameColumnWidth) << "host" << std::right
      << std::setw(kCountColumnWidth) << "requests"
      << std::setw(kCountColumnWidth) << "parts" << '\n';
  for (const auto& [row, count] : table.rows) {
    out << std::left << std::setw(kRouteColumnWidth) << row.route
        << std::setw(kNameColumnWidth) << row.outcome
        << std::setw(kNameColumnWidth) << row.cause
        << std::setw(kNameColumnWidth)
        << (row.fetching ? "fetching" : "of the caller") << std::right
        << std::setw(kCountColumnWidth) << count.requests
        << std::setw(kCountColumnWidth) << count.parts << '\n';
  }
  out << '\n'
      << std::setw(kCountColumnWidth) << "second"
      << std::setw(kCountColumnWidth) << "requests"
      << std::setw(kCountColumnWidth) << "parts" << '\n';
  for (const auto& [start, count] : table.windows) {
    out << std::setw(kCountColumnWidth) << start << std::setw(kCountColumnWidth)
        << count.requests << std::setw(kCountColumnWidth) << count.parts
        << '\n';
  }
  if (table.omitted_requests > 0) {
    out << table.omitted_requests
        << " further requests were not logged; the metric "
           "auburnyard_relay_lost_parts_total counts their parts\n";
  }
}

void PrintAsJson(const LossTable& table, std::ostream& out) {
  boost::json::array rows;
  for (const auto& [row, count] : table.rows) {
    rows.push_back(boost::json::object{{"route", row.route},
                                       {"outcome", row.outcome},
                                       {"cause", row.cause},
                                       {"fetching", row.fetching},
                                       {"requests", count.requests},
                                       {"parts", count.parts}});
  }
  boost::json::array windows;
  for (const auto& [start, count] : table.windows) {
    windows.push_back(boost::json::object{{"second", start},
                                          {"requests", count.requests},
                                          {"parts", count.parts}});
  }
  PrintJson(boost::json::object{{"rows", std::move(rows)},
                                {"windows", std::move(windows)},
                                {"omitted_requests", table.omitted_requests}},
            out);
}

std::vector<LogLine> ReadFiles(const Options& options,
                               std::size_t& unreadable_lines) {
  std::vector<LogLine> lines;
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
  return lines;
}

void PrintTimeline(const RequestTimeline& timeline,
                   std::string_view request,
                   std::size_t unreadable_lines,
                   std::ostream& out) {
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
}

void Run(const Options& options, std::ostream& out) {
  const bool losses = options.Has("losses");
  if (losses && options.Has("request")) {
    throw Error(ErrorKind::kBadRequest,
                "--losses and --request exclude each other");
  }
  const std::string request = losses ? "" : options.GetRequired("request");
  std::size_t unreadable_lines = 0;
  std::vector<LogLine> lines = ReadFiles(options, unreadable_lines);
  if (losses) {
    const LossTable table = BuildLossTable(lines, kLossWindow);
    options.Has("json") ? PrintAsJson(table, out) : Print(table, out);
  } else {
    const RequestTimeline timeline =
        BuildRequestTimeline(std::move(lines), request);
    if (options.Has("json")) {
      PrintTimeline(timeline, request, unreadable_lines, out);
      return;
    }
    Print(timeline, out);
  }
  if (unreadable_lines > 0 && !options.Has("json")) {
    out << unreadable_lines << " lines contain no JSON object\n";
  }
}

}  // namespace

Command LogCommand() {
  return {.name = "log",
          .arguments = "FILE...",
          .summary =
              "Merges the logs of hosts into the timeline of one request or "
              "a table of losses.",
          .options = {{"request", "ID", "identifier of the request"},
                      {"losses", nullptr,
                       "count lost parts by route, cause and 2-second window"}},
          .run = Run};
}

}  // namespace auburnyard::cli
