#include "auburnyard/replay.h"

#include <algorithm>
#include <span>
#include <utility>

#include "auburnyard/error.h"
#include "src/core/trace_player.h"

namespace auburnyard {

namespace {

bool MatchesText(const std::string& stated, const std::string& actual) {
  return stated.empty() || stated == actual;
}

bool Matches(const DecisionRecord& stated, const DecisionRecord& actual) {
  const auto numbers = stated.numbers.all();
  return stated.event == actual.event && stated.time == actual.time &&
         (!stated.reason || stated.reason == actual.reason) &&
         (stated.attempt == kNoAttempt || stated.attempt == actual.attempt) &&
         MatchesText(stated.target, actual.target) &&
         MatchesText(stated.shard, actual.shard) &&
         MatchesText(stated.snapshot, actual.snapshot) &&
         std::all_of(numbers.begin(), numbers.end(),
                     [&actual](const DecisionNumber& number) {
                       return actual.numbers.Find(number.name) == number.value;
                     });
}

// Compares the actions of one input with the outcomes stated after it.
void Compare(std::size_t input_line,
             std::span<const TraceLine> stated,
             std::vector<DecisionRecord> actual,
             ReplayReport& report) {
  for (const TraceLine& line : stated) {
    const auto found = std::find_if(actual.begin(), actual.end(),
                                    [&line](const DecisionRecord& record) {
                                      return Matches(line.record, record);
                                    });
    if (found == actual.end()) {
      report.differences.push_back({line.number, false, line.record});
    } else {
      ++report.outcomes;
      actual.erase(found);
    }
  }
  for (DecisionRecord& record : actual) {
    report.differences.push_back({input_line, true, std::move(record)});
  }
}

std::vector<DecisionRecord> FeedLine(detail::TracePlayer& player,
                                     const TraceLine& line) {
  try {
    return player.Feed(line.record);
  } catch (const Error& error) {
    throw Error(error.kind(), "trace line " + std::to_string(line.number) +
                                  ": " + error.what());
  }
}

}  // namespace

ReplayReport Replay(const Trace& trace) {
  const bool with_gates = !trace.header.gates.empty();
  const auto is_input = [with_gates](const TraceLine& line) {
    return IsTraceInput(line.record.event, with_gates);
  };
  ReplayReport report;
  report.actual.header = trace.header;
  detail::TracePlayer player(trace.header);
  for (auto input = trace.lines.begin(); input != trace.lines.end();) {
    const auto next = std::find_if(input + 1, trace.lines.end(), is_input);
    ++report.inputs;
    std::vector<DecisionRecord> actions = FeedLine(player, *input);
    report.actual.lines.push_back(*input);
    for (const DecisionRecord& action : actions) {
      report.actual.lines.push_back({input->number, action});
    }
    Compare(input->number, std::span(input + 1, next), std::move(actions),
            report);
    input = next;
  }
  return report;
}

std::string FormatReplayReport(const ReplayReport& report) {
  std::string text;
  for (const ReplayDifference& difference : report.differences) {
    text += "line " + std::to_string(difference.line) + ": ";
    text += difference.unstated
                ? "action that the trace does not state: "
                : "stated outcome that the core did not produce: ";
    text += SerializeDecisionRecord(difference.record) + "\n";
  }
  text += std::to_string(report.inputs) + " inputs, " +
          std::to_string(report.outcomes) + " matching outcomes, " +
          std::to_string(report.differences.size()) + " differences\n";
  return text;
}

}  // namespace auburnyard
