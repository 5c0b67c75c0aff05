#ifndef AUBURNYARD_HEDGING_H_
#define AUBURNYARD_HEDGING_H_

#include "auburnyard/target_state.h"

namespace auburnyard {

/// When a request expects replies.
struct HedgeTiming {
  /// Estimate for the kind of request; null: not known.
  const WorkEstimate* work = nullptr;
  TimePoint answer_by{};
  TimePoint deadline{};
};

/// Time at which a request that is sent to the target now is hedged. Answers
/// targets that pause: the hedge starts when the reply is later than usual or,
/// if that is earlier, at the last time for which the reply to the hedge can be
/// expected within the objective.
TimePoint HedgeTime(const TargetState& target,
                    const HedgeTiming& timing,
                    TimePoint now);

/// Whether the target's reply to a hedge can be expected within the objective
/// or, after it, before the deadline. Answers overload: a hedge that is too
/// late only adds work where targets have too much.
bool IsHedgeInTime(const TargetState& target,
                   const HedgeTiming& timing,
                   TimePoint now);

/// How long the connection of an abandoned request stays open for the reply.
/// Answers pauses, in which abandoned requests would hold all connections of
/// the host and the work of the target.
Duration LingerTime(const TargetState& target, TimePoint sent_at);

}  // namespace auburnyard

#endif  // AUBURNYARD_HEDGING_H_
