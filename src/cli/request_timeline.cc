#include "src/cli/request_timeline.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace auburnyard::cli {

namespace {

// Only this many of the last lines about targets, hosts and the store are shown
// with a request; earlier ones do not explain its outcome.
constexpr std::size_t kMaxContextLines = 12;

bool IsEarlier(const LogLine& left, const LogLine& right) {
  return left.time < right.time;
}

// Targets in a list like "service:target+,target- service:target-", where "+"
// marks attempts that were sent.
std::set<std::string, std::less<>> MissingTargets(const LogLine& line) {
  std::set<std::string, std::less<>> targets;
  std::istringstream parts(GetString(line, "lacking"));
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
          targets.contains(GetString(line, "target")));
}

std::string DescribeMissingTargets(const LogLine& line,
                                   const std::vector<LogLine>& context) {
  const std::set<std::string, std::less<>> targets = MissingTargets(line);
  std::size_t removed = 0;
  for (const LogLine& other : context) {
    removed += targets.contains(GetString(other, "target")) &&
                       (other.event == "target_removed" ||
                        other.event == "target_address_reused" ||
                        other.event == "target_changed")
                   ? 1
                   : 0;
  }
  return removed > 0 ? "missing targets had left (see the preceding lines)"
                     : "missing targets were slow or did not answer";
}

std::string DescribeCause(const LogLine& line,
                          const std::vector<LogLine>& context) {
  const std::string kind = GetString(line, "kind");
  if (kind == "no_configuration") {
    return "the host had not read a configuration yet";
  }
  if (kind == "no_route") {
    return "no route matches in the version in force";
  }
  if (kind == "outcome_unknown") {
    return "a target received the request, but its connection ended without a "
           "reply";
  }
  if (kind == "no_capacity") {
    return "no target was known, or none had a free connection";
  }
  if (kind == "answered" && GetNumber(line, "target_status") >= 300) {
    return "a target answered with a failure status";
  }
  if (kind == "answered" && GetNumber(line, "missing") == 0) {
    return "the answer was late: " + DescribeMissingTargets(line, context);
  }
  if (kind == "answered") {
    return "parts of the answer are missing: " +
           DescribeMissingTargets(line, context);
  }
  return kind + ": " + DescribeMissingTargets(line, context);
}

}  // namespace

RequestTimeline BuildRequestTimeline(std::vector<LogLine> lines,
                                     std::string_view request_id) {
  std::stable_sort(lines.begin(), lines.end(), IsEarlier);
  RequestTimeline timeline;
  std::set<std::string, std::less<>> targets;
  std::set<std::string, std::less<>> hosts;
  for (const LogLine& line : lines) {
    if (GetString(line, "request") == request_id) {
      timeline.lines.push_back(line);
      targets.merge(MissingTargets(line));
      hosts.insert(line.host);
    }
  }
  if (timeline.lines.empty()) {
    timeline.cause =
        "no line: the request was answered normally, or its line was omitted "
        "(see `omitted` of the next line)";
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
  // The host that received the request from the caller logs last.
  timeline.cause = DescribeCause(last, context);
  timeline.lines.insert(timeline.lines.end(), context.begin(), context.end());
  std::stable_sort(timeline.lines.begin(), timeline.lines.end(), IsEarlier);
  return timeline;
}

}  // namespace auburnyard::cli
