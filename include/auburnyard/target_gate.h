#ifndef AUBURNYARD_TARGET_GATE_H_
#define AUBURNYARD_TARGET_GATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/cold_start.h"
#include "auburnyard/configuration.h"
#include "auburnyard/drain_mark.h"
#include "auburnyard/gate_request.h"
#include "auburnyard/reason.h"
#include "auburnyard/shedder.h"
#include "auburnyard/wait_queue.h"
#include "auburnyard/windowed_minimum.h"

namespace auburnyard {

/// Limits of a gate: all of the target's limits, or this host's share of them.
struct GateLimits {
  std::uint32_t slots = 1;
  std::uint32_t cold_limit = 1;
  /// Another host uses the target, so this gate no longer tracks its state.
  bool used_by_other_host = false;
  /// Successes required after a cold start before the window grows.
  std::uint32_t warm_after = 0;
  std::size_t queue_length = 256;
  std::size_t queue_bytes = 4 * 1024 * 1024;  ///< sum of GateRequest::bytes
  /// Time after which queued requests are rejected while the window is zero.
  Duration zero_window_wait = std::chrono::milliseconds(50);
  /// Time without dispatches after a reply that reports a drain. Then a single
  /// request probes whether the drain has ended.
  Duration drain_hold = std::chrono::seconds(10);
  /// Share of dispatches guaranteed to the lowest class.
  std::uint32_t lowest_class_per_mille = 50;
  ShedBounds shed_bounds = {std::chrono::milliseconds(200),
                            std::chrono::milliseconds(100),
                            std::chrono::milliseconds(50)};
};

/// State of the target as reported in a reply.
struct TargetReport {
  std::string start_id;
  std::optional<std::uint32_t>
      load;  ///< requests in the target; may be out of date
  bool draining = false;
};

enum class ReplyOutcome { kOk, kRefusedBeforeStart, kFailed };

/// Send the attempt to the target now.
struct DispatchAttempt {
  AttemptId id;
};
/// The attempt will not be sent and did not run.
struct RejectAttempt {
  AttemptId id;
  Reason reason;
};
/// Cancel the dispatched attempt at the target.
struct AbortAttempt {
  AttemptId id;
  Reason reason;
};
using GateAction = std::variant<DispatchAttempt, RejectAttempt, AbortAttempt>;

/// Admission state of a target as configured.
struct GateAdmission {
  bool domain_in = true;
  bool leaving = false;
};

/// Enforces the limits of one target. Every dispatch to the target passes
/// through its gate. Not thread-safe; the caller holds the lock of the gate
/// table.
class TargetGate {
 public:
  TargetGate(std::string target, GateLimits limits);

  /// Does nothing if the attempt is already queued or in flight.
  std::vector<GateAction> Enqueue(const GateRequest& request, TimePoint now);
  std::vector<GateAction> Cancel(const AttemptId& id,
                                 Reason reason,
                                 TimePoint now);
  std::vector<GateAction> OnReply(const AttemptId& id,
                                  ReplyOutcome outcome,
                                  const TargetReport& report,
                                  TimePoint now);
  /// This side ended the exchange: it closed the connection, for example after
  /// an abort, or withdrew the request before a byte was sent. Frees the slot
  /// and leaves the target's state unchanged.
  std::vector<GateAction> OnExchangeEnded(const AttemptId& id, TimePoint now);
  /// The connection of an exchange, or an idle connection (empty identifier),
  /// was lost. The target may have restarted, so it counts as cold.
  std::vector<GateAction> OnConnectionLost(const AttemptId& id, TimePoint now);
  std::vector<GateAction> SetLimits(GateLimits limits, TimePoint now);
  std::vector<GateAction> SetAdmission(GateAdmission admission, TimePoint now);
  /// Rejects queued requests that cannot meet their deadlines and dispatches
  /// those that fit into the window.
  std::vector<GateAction> OnTimer(TimePoint now);
  /// The target is back in service: clears the drain mark before its hold time
  /// has elapsed.
  std::vector<GateAction> EndDrain(TimePoint now);
  /// Time at which OnTimer is due; empty if no request is queued.
  std::optional<TimePoint> NextTimer() const;

  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(this->running.size());
  }
  std::size_t queued() const { return this->waiting.size(); }
  /// Number of requests that may run at the target now.
  std::uint32_t window() const;
  bool cold() const { return this->cold_start.IsCold(this->limits.slots); }
  bool draining() const { return this->drain.draining(); }
  /// Number of discarded replies to attempts that were not in flight.
  std::uint64_t unknown_replies() const { return this->unknown_reply_count; }
  const std::string& target() const { return this->target_id; }

 private:
  struct Running {
    GateRequest request;
    TimePoint dispatched;
    std::uint64_t epoch = 0;  // of the cold start
    bool aborted = false;
  };

  std::optional<Reason> ClosedReason() const;
  std::optional<Reason> RejectionReason(const GateRequest& request,
                                        TimePoint now) const;
  bool MakeRoom(const GateRequest& request, std::vector<GateAction>& actions);
  bool WouldMissDeadline(const GateRequest& request, TimePoint now) const;
  void UpdateFromReport(const Running& exchange,
                        const TargetReport& report,
                        TimePoint now,
                        std::vector<GateAction>& actions);
  void BecomeCold(std::uint32_t limit, std::vector<GateAction>& actions);
  void AbortExcess(std::vector<GateAction>& actions);
  std::vector<GateAction> Advance(TimePoint now,
                                  std::vector<GateAction> actions = {});
  void RejectUnmeetableDeadlines(TimePoint now,
                                 std::vector<GateAction>& actions);
  void TrackZeroWindow(TimePoint now, std::vector<GateAction>& actions);
  void DispatchWaiting(TimePoint now, std::vector<GateAction>& actions);
  static void Reject(const std::vector<WaitingRequest>& requests,
                     Reason reason,
                     std::vector<GateAction>& actions);

  std::string target_id;
  GateLimits limits;
  GateAdmission admission;
  ColdStart cold_start;
  WaitQueue waiting;
  Shedder shedder;
  WindowedMinimum service_time;
  DrainMark drain;
  std::unordered_map<AttemptId, Running> running;
  std::string start_id;
  std::optional<TimePoint> zero_window_since;
  std::uint64_t unknown_reply_count = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_GATE_H_
