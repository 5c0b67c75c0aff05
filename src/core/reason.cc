#include "auburnyard/reason.h"

#include <algorithm>
#include <array>

namespace auburnyard {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, kReasonCount> kNames = {
    "first_attempt",
    "hedge_delay_elapsed",
    "retry_connection_failed",
    "retry_target_refused",
    "retry_target_draining",
    "retry_owner_silent",
    "retry_bad_reply",
    "retry_queue_moved",
    "restart_snapshot_changed",
    "retry_budget_empty",
    "hedge_budget_empty",
    "no_replica_left",
    "domain_out",
    "target_leaving",
    "target_cold_limit",
    "target_slots_busy",
    "connection_limit",
    "queue_full",
    "queue_delay",
    "deadline_elapsed",
    "deadline_too_short",
    "cancelled_by_winner",
    "cancelled_by_caller",
    "early_answer",
    "coverage_too_low",
    "snapshot_lost",
    "stale_knowledge",
    "not_owner",
    "shutting_down",
    "claim_unavailable",
    "duplicate_request",
    "request_too_old",
    "reply_discarded",
    "dispatched",
    "completed",
};

}  // namespace

std::string_view ToString(Reason reason) {
  return kNames.at(static_cast<std::size_t>(reason));
}

std::optional<Reason> ParseReason(std::string_view name) {
  const auto* found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<Reason>(found - kNames.begin());
}

}  // namespace auburnyard
