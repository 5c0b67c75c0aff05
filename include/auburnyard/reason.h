#ifndef AUBURNYARD_REASON_H_
#define AUBURNYARD_REASON_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace auburnyard {

/// Reasons for routing, retry, hedge, shedding and refusal decisions. Each has
/// a counter.
enum class Reason {
  kFirstAttempt,
  kHedgeDelayElapsed,
  kRetryConnectionFailed,
  kRetryTargetRefused,
  kRetryTargetDraining,
  kRetryOwnerSilent,
  kRetryBadReply,
  kRetryQueueMoved,
  kRestartSnapshotChanged,
  kRetryBudgetEmpty,
  kHedgeBudgetEmpty,
  kNoReplicaLeft,
  kDomainOut,
  kTargetLeaving,
  kTargetColdLimit,
  kTargetSlotsBusy,
  kConnectionLimit,
  kQueueFull,
  kQueueDelay,
  kDeadlineElapsed,
  kDeadlineTooShort,
  kCancelledByWinner,
  kCancelledByCaller,
  kEarlyAnswer,
  kCoverageTooLow,
  kSnapshotLost,
  kStaleKnowledge,
  kNotOwner,
  kShuttingDown,
  kClaimUnavailable,
  kDuplicateRequest,
  kRequestTooOld,
  kReplyDiscarded,
  kDispatched,
  kCompleted,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kCompleted) + 1;

/// Stable snake_case name, used in logs, metrics and traces.
std::string_view ToString(Reason reason);
std::optional<Reason> ParseReason(std::string_view name);

}  // namespace auburnyard

#endif  // AUBURNYARD_REASON_H_
