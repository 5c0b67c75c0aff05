#ifndef AUBURNYARD_DECISION_RECORDS_H_
#define AUBURNYARD_DECISION_RECORDS_H_

#include <string_view>

#include "auburnyard/decision.h"
#include "auburnyard/query_machine.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// Returns the attempt number at the end of an attempt identifier, or
/// kNoAttempt if there is none.
std::uint32_t AttemptNumberOf(std::string_view attempt);
/// Returns the decision identifier before the attempt number.
std::string_view DecisionOf(std::string_view attempt);

/// Records of the query machine's inputs and actions. `time` is relative to the
/// origin of DecisionRecord::time.
DecisionRecord MakeReceivedRecord(std::string_view decision,
                                  const QueryRequest& request,
                                  Duration time);
DecisionRecord MakeRecord(std::string_view decision,
                          const QueryAction& action,
                          Duration time);
/// Record of a decision without an action, as passed to QueryHooks::note.
DecisionRecord MakeNoteRecord(std::string_view decision,
                              Reason reason,
                              Duration time);
DecisionRecord MakeResultRecord(const AttemptId& id,
                                std::string_view target,
                                const PartialResult& result,
                                const TargetReport& report,
                                Duration time);
DecisionRecord MakeFailureRecord(const AttemptId& id,
                                 std::string_view target,
                                 const AttemptFailure& failure,
                                 const TargetReport& report,
                                 Duration time);

/// Records of a gate's inputs and actions.
DecisionRecord MakeEnqueuedRecord(const TargetGate& gate,
                                  const AttemptId& id,
                                  Duration time);
DecisionRecord MakeRecord(const TargetGate& gate,
                          const GateAction& action,
                          Duration time);

}  // namespace auburnyard

#endif  // AUBURNYARD_DECISION_RECORDS_H_
