#ifndef AUBURNYARD_REPLAY_H_
#define AUBURNYARD_REPLAY_H_

#include <string>
#include <vector>

#include "auburnyard/decision.h"
#include "auburnyard/trace.h"

namespace auburnyard {

/// A stated outcome that the core did not produce, or an action of the core
/// that the trace does not state.
struct ReplayDifference {
  std::size_t line = 0;  ///< of the stated outcome, or of the input that caused
                         ///< the unstated action
  bool unstated = false;
  DecisionRecord record;
};

struct ReplayReport {
  std::size_t inputs = 0;
  std::size_t outcomes = 0;  ///< stated outcomes that matched
  std::vector<ReplayDifference> differences;
  /// The inputs, each followed by the actions that the core produced.
  Trace actual;
};

/// Feeds a trace to the query machine and its gates, and compares the actions
/// after each input, in any order, with the outcomes that the trace states
/// after it. Members that a stated outcome omits are not compared. Throws
/// Error(kBadRequest) with the line number of an event that cannot be applied.
ReplayReport Replay(const Trace& trace);

/// Returns one line per difference and a summary line.
std::string FormatReplayReport(const ReplayReport& report);

}  // namespace auburnyard

#endif  // AUBURNYARD_REPLAY_H_
