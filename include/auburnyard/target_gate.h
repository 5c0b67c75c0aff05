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

/// Limits that a gate may use. The holder sets them to the whole of the
/// target's limits or to a share.
struct GateLimits {
  std::uint32_t slots = 1;
  std::uint32_t cold_limit = 1;
  /// Another host uses the target, so its state is not known here any more.
  bool foreign = false;
  /// Successes after a start before the window grows.
  std::uint32_t warm_after = 0;
  std::size_t queue_length = 256;
  std::size_t queue_bytes = 4 * 1024 * 1024;  ///< sum of GateRequest::bytes
  /// Queued work waits this long for a window of zero to reopen.
  Duration zero_window_wait = std::chrono::milliseconds(50);
  /// After a drain report, no work is sent for this long. Then one request
  /// finds out whether the target is back.
  Duration drain_hold = std::chrono::seconds(10);
  /// Share of starts guaranteed to the lowest class.
  std::uint32_t lowest_class_per_mille = 50;
  ShedBounds shed_bounds = {std::chrono::milliseconds(200),
                            std::chrono::milliseconds(100),
                            std::chrono::milliseconds(50)};
};

/// What a reply says about the target besides its result.
struct TargetReport {
  std::string start_id;
  std::optional<std::uint32_t>
      load;  ///< requests in the target, as it reports them; lags
  bool draining = false;
};

enum class ReplyOutcome { kOk, kRefusedBeforeStart, kFailed };

/// Send the attempt to the target now.
struct DispatchAttempt {
  AttemptId id;
};
/// The attempt will not be sent. Nothing of it ran.
struct RejectAttempt {
  AttemptId id;
  Reason reason;
};
/// The attempt was sent and should be cancelled at the target.
struct AbortAttempt {
  AttemptId id;
  Reason reason;
};
using GateAction = std::variant<DispatchAttempt, RejectAttempt, AbortAttempt>;

/// Admission state of a target, by configuration.
struct GateAdmission {
  bool domain_in = true;
  bool leaving = false;
};

/// Holds the limits of one target. Every dispatch to the target passes through
/// its gate. Not synchronized; the caller holds the lock of the gate table.
class TargetGate {
 public:
  TargetGate(std::string target, GateLimits limits);

  /// An attempt that is queued or in flight already is ignored.
  std::vector<GateAction> Enqueue(const GateRequest& request, TimePoint now);
  std::vector<GateAction> Cancel(const AttemptId& id,
                                 Reason reason,
                                 TimePoint now);
  std::vector<GateAction> OnReply(const AttemptId& id,
                                  ReplyOutcome outcome,
                                  const TargetReport& report,
                                  TimePoint now);
  /// The exchange was ended by this side, for example after an abort, and its
  /// connection is closed, or it was withdrawn before a byte was sent. Frees
  /// the slot; says nothing about the target.
  std::vector<GateAction> OnExchangeEnded(const AttemptId& id, TimePoint now);
  /// The target broke the exchange, or an idle connection (empty identifier).
  /// The target's state is not known any more, so it counts as cold.
  std::vector<GateAction> OnConnectionLost(const AttemptId& id, TimePoint now);
  std::vector<GateAction> SetLimits(GateLimits limits, TimePoint now);
  std::vector<GateAction> SetAdmission(GateAdmission admission, TimePoint now);
  /// Drops expired requests, sheds, and dispatches what has become possible.
  std::vector<GateAction> OnTimer(TimePoint now);
  /// The target was taken back into service; ends a drain mark before its hold.
  std::vector<GateAction> EndDrain(TimePoint now);
  /// Time at which OnTimer is due; empty if nothing waits.
  std::optional<TimePoint> NextTimer() const;

  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(this->running.size());
  }
  std::size_t queued() const { return this->waiting.size(); }
  /// Requests that may run at the target now.
  std::uint32_t window() const;
  bool cold() const { return this->cold_start.Cold(this->limits.slots); }
  bool draining() const { return this->drain.draining(); }
  /// Replies to attempts that were not in flight. They are discarded.
  std::uint64_t unknown_replies() const { return this->unknown_reply_count; }
  const std::string& target() const { return this->target_id; }

 private:
  struct Running {
    GateRequest request;
    TimePoint dispatched;
    std::uint64_t epoch = 0;  // of the cold start
    bool aborted = false;
  };

  std::optional<Reason> Closed() const;
  std::optional<Reason> Refused(const GateRequest& request,
                                TimePoint now) const;
  bool MakeRoom(const GateRequest& request, std::vector<GateAction>& actions);
  bool CannotFinish(const GateRequest& request, TimePoint now) const;
  void LearnState(const Running& exchange,
                  const TargetReport& report,
                  TimePoint now,
                  std::vector<GateAction>& actions);
  void BecomeCold(std::uint32_t limit, std::vector<GateAction>& actions);
  void AbortExcess(std::vector<GateAction>& actions);
  std::vector<GateAction> Advance(TimePoint now,
                                  std::vector<GateAction> actions = {});
  void RejectHopeless(TimePoint now, std::vector<GateAction>& actions);
  void TrackZeroWindow(TimePoint now, std::vector<GateAction>& actions);
  void Fill(TimePoint now, std::vector<GateAction>& actions);
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
  std::optional<TimePoint> zero_since;
  std::uint64_t unknown_reply_count = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_GATE_H_
