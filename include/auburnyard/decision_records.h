#ifndef AUBURNYARD_DECISION_RECORDS_H_
#define AUBURNYARD_DECISION_RECORDS_H_

#include <string_view>

#include "auburnyard/decision.h"
#include "auburnyard/query_machine.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// Attempt number at the end of an attempt identifier; kNoAttempt if there is
/// none.
std::uint32_t AttemptNumberOf(std::string_view attempt);
/// Decision identifier in front of the attempt number.
std::string_view DecisionOf(std::string_view attempt);

/// Records of the query machine's inputs and actions. `time` is since the
/// writer's origin.
DecisionRecord MakeReceivedRecord(std::string_view decision,
                                  const QueryRequest& request,
                                  Duration time);
DecisionRecord MakeRecord(std::string_view decision,
                          const QueryAction& action,
                          Duration time);
/// A decision without an action, as given to QueryHooks::note.
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
