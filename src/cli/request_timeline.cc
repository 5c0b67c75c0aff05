#include "src/cli/request_timeline.h"

#include <algorithm>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace auburnyard::cli {

namespace {

// Lines about targets and the store that precede a request by more than this
// many, per host, explain nothing.
constexpr std::size_t kMaxContextLines = 12;

std::string Text(const LogLine& line, std::string_view field) {
  const boost::json::value* value = line.fields.if_contains(field);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::int64_t Number(const LogLine& line, std::string_view field) {
  const boost::json::value* value = line.fields.if_contains(field);
  return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

bool ByTime(const LogLine& left, const LogLine& right) {
  return left.time < right.time;
}

// Targets in a list like "service:target+,target- service:target-".
std::set<std::string, std::less<>> LackingTargets(const LogLine& line) {
  std::set<std::string, std::less<>> targets;
  std::istringstream parts(Text(line, "lacking"));
  for (std::string part; parts >> part;) {
    std::istringstream attempts(part.substr(part.find(':') + 1));
    for (std::string attempt; std::getline(attempts, attempt, ',');) {
      targets.insert(attempt.substr(0, attempt.find_last_of("+-")));
    }
  }
  return targets;
}

bool IsContext(const LogLine& line,
               const std::set<std::string, std::less<>>& targets) {
  return line.event == "store_lost" || line.event == "store_regained" ||
         line.event == "host_started" || line.event == "host_draining" ||
         (line.event.starts_with("target_") &&
          targets.contains(Text(line, "target")));
}

std::string LackOf(const LogLine& line, const std::vector<LogLine>& context) {
  const std::set<std::string, std::less<>> targets = LackingTargets(line);
  std::size_t gone = 0;
  for (const LogLine& other : context) {
    gone += targets.contains(Text(other, "target")) &&
                    (other.event == "target_removed" ||
                     other.event == "target_address_reused" ||
                     other.event == "target_changed")
                ? 1
                : 0;
  }
  return gone > 0 ? "targets that it lacked had left (see the lines before)"
                  : "targets that it lacked were slow or silent";
}

std::string CauseOf(const LogLine& line, const std::vector<LogLine>& context) {
  const std::string kind = Text(line, "kind");
  if (kind == "no_configuration") {
    return "the host had not read a configuration yet";
  }
  if (kind == "no_route") {
    return "no route matches in the version in force";
  }
  if (kind == "outcome_unknown") {
    return "a target took the request and its connection ended without a reply";
  }
  if (kind == "no_capacity") {
    return "no target was known or had a connection free";
  }
  if (kind == "answered" && Number(line, "target_status") >= 300) {
    return "a target answered with a failure";
  }
  if (kind == "answered" && Number(line, "missing") == 0) {
    return "the answer was late: " + LackOf(line, context);
  }
  if (kind == "answered") {
    return "the answer left parts out: " + LackOf(line, context);
  }
  return kind + ": " + LackOf(line, context);
}

}  // namespace

std::vector<LogLine> ReadLog(std::istream& input,
                             std::string_view host,
                             std::size_t& unreadable) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    const std::size_t start = text.find('{');
    boost::system::error_code error;
    const boost::json::value value =
        start == std::string::npos
            ? boost::json::value()
            : boost::json::parse(std::string_view(text).substr(start), error);
    if (error || !value.is_object()) {
      unreadable += text.empty() ? 0 : 1;
      continue;
    }
    LogLine line{.host = std::string(host), .fields = value.as_object()};
    std::istringstream prefix(text.substr(0, start));
    for (std::string word; prefix >> word;) {
      line.host = word;
    }
    line.time = Text(line, "time");
    line.event = Text(line, "event");
    lines.push_back(std::move(line));
  }
  return lines;
}

RequestTimeline ExplainRequest(std::vector<LogLine> lines,
                               std::string_view request_id) {
  std::stable_sort(lines.begin(), lines.end(), ByTime);
  RequestTimeline timeline;
  std::set<std::string, std::less<>> targets;
  std::set<std::string, std::less<>> hosts;
  for (const LogLine& line : lines) {
    if (Text(line, "request") == request_id) {
      timeline.lines.push_back(line);
      targets.merge(LackingTargets(line));
      hosts.insert(line.host);
    }
  }
  if (timeline.lines.empty()) {
    timeline.cause =
        "no line: the answer was ordinary, or its line was left out (see "
        "`omitted` of the next one)";
    return timeline;
  }
  const LogLine last = timeline.lines.back();
  std::vector<LogLine> context;
  for (const LogLine& line : lines) {
    if (line.time <= last.time && hosts.contains(line.host) &&
        IsContext(line, targets)) {
      context.push_back(line);
    }
  }
  if (context.size() > kMaxContextLines) {
    context.erase(context.begin(), context.end() - kMaxContextLines);
  }
  // The host that the caller asked speaks last.
  timeline.cause = CauseOf(last, context);
  timeline.lines.insert(timeline.lines.end(), context.begin(), context.end());
  std::stable_sort(timeline.lines.begin(), timeline.lines.end(), ByTime);
  return timeline;
}

}  // namespace auburnyard::cli
