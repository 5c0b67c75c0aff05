#include "src/cli/loss_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <limits>
#include <optional>

namespace auburnyard::cli {

namespace {

constexpr const char* kNoCause = "-";
constexpr double kMillisecondsPerSecond = 1e3;

bool IsOutcome(const LogLine& line) {
  return line.event == "request_refused" || line.event == "request_impaired";
}

// Seconds since the epoch of a time like "2026-07-19T21:13:55.220550Z".
std::optional<double> ParseTime(const std::string& text) {
  std::tm time{};
  double seconds = 0;
  if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lfZ", &time.tm_year,
                  &time.tm_mon, &time.tm_mday, &time.tm_hour, &time.tm_min,
                  &seconds) != 6) {
    return std::nullopt;
  }
  constexpr int kFirstTmYear = 1900;
  time.tm_year -= kFirstTmYear;
  time.tm_mon -= 1;
  return static_cast<double>(timegm(&time)) + seconds;
}

std::uint64_t ToCount(double number) {
  return number > 0 ? static_cast<std::uint64_t>(number) : 0;
}

std::uint64_t ToCount(const boost::json::value& value) {
  return value.is_number() ? ToCount(value.to_number<double>()) : 0;
}

std::string OutcomeOf(const LogLine& line) {
  if (line.event == "request_refused") {
    return GetString(line, "kind");
  }
  const double objective = GetNumber(line, "objective_ms");
  if (objective > 0 && GetNumber(line, "latency_ms") > objective) {
    return "late";
  }
  return GetNumber(line, "missing") > 0 ? "missing parts" : "failure status";
}

void AddOutcome(const LogLine& line, LossTable& table) {
  LossTable::Row row{.route = GetString(line, "route"),
                     .outcome = OutcomeOf(line),
                     .cause = kNoCause,
                     .fetching = GetFlag(line, "from_peer")};
  const boost::json::value* causes = line.fields.if_contains("causes");
  if (causes == nullptr || !causes->is_object() ||
      causes->as_object().empty()) {
    ++table.rows[row].requests;
    return;
  }
  for (const auto& [cause, parts] : causes->as_object()) {
    row.cause = cause;
    LossCount& count = table.rows[row];
    ++count.requests;
    count.parts += ToCount(parts);
  }
}

std::uint64_t PartsOf(const LogLine& line) {
  std::uint64_t total = 0;
  const boost::json::value* causes = line.fields.if_contains("causes");
  if (causes != nullptr && causes->is_object()) {
    for (const auto& [cause, parts] : causes->as_object()) {
      total += ToCount(parts);
    }
  }
  return total;
}

}  // namespace

// Windows count only the hosts that callers asked, so that a part that was lost
// at a fetching host counts once.
LossTable BuildLossTable(std::span<const LogLine> lines, Duration window) {
  LossTable table;
  double first = std::numeric_limits<double>::max();
  for (const LogLine& line : lines) {
    if (const auto time = ParseTime(line.time)) {
      first = std::min(first, *time);
    }
  }
  const double length = ToMilliseconds(window) / kMillisecondsPerSecond;
  for (const LogLine& line : lines) {
    if (!IsOutcome(line)) {
      continue;
    }
    table.omitted_requests += ToCount(GetNumber(line, "omitted"));
    AddOutcome(line, table);
    const auto time = ParseTime(line.time);
    if (time && !GetFlag(line, "from_peer")) {
      LossCount& count =
          table.windows[std::floor((*time - first) / length) * length];
      ++count.requests;
      count.parts += PartsOf(line);
    }
  }
  return table;
}

}  // namespace auburnyard::cli
