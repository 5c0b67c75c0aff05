#ifndef AUBURNYARD_TARGET_GATE_H_
#define AUBURNYARD_TARGET_GATE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/configuration.h"
#include "auburnyard/reason.h"

namespace auburnyard {

using AttemptId = std::string;

/// Work that waits for a slot of one target.
struct GateRequest {
  AttemptId id;
  PriorityClass priority = PriorityClass::kNormal;
  TimePoint deadline;
  bool idempotent = true;
};

/// Limits that a gate may use. The holder sets them to the whole of the
/// target's limits or to a share.
struct GateLimits {
  std::uint32_t slots = 1;
  std::uint32_t cold_limit = 1;
  std::size_t queue_length = 256;
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

  std::vector<GateAction> Enqueue(const GateRequest& request, TimePoint now);
  std::vector<GateAction> Cancel(const AttemptId& id,
                                 Reason reason,
                                 TimePoint now);
  std::vector<GateAction> OnReply(const AttemptId& id,
                                  ReplyOutcome outcome,
                                  const TargetReport& report,
                                  TimePoint now);
  /// A dispatched attempt was withdrawn before any byte was sent.
  std::vector<GateAction> OnNotSent(const AttemptId& id, TimePoint now);
  /// The exchange broke. The target's state is not known any more, so it counts
  /// as cold.
  std::vector<GateAction> OnConnectionLost(const AttemptId& id, TimePoint now);
  std::vector<GateAction> SetLimits(GateLimits limits, TimePoint now);
  std::vector<GateAction> SetAdmission(GateAdmission admission, TimePoint now);
  /// Drops expired requests, sheds, and dispatches what has become possible.
  std::vector<GateAction> OnTimer(TimePoint now);

  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(this->running.size());
  }
  std::size_t queued() const { return this->waiting.size(); }
  /// Requests that may run at the target now.
  std::uint32_t window() const;
  bool cold() const { return this->is_cold; }
  bool draining() const { return this->is_draining; }
  const std::string& target() const { return this->target_id; }

 private:
  struct Waiting {
    GateRequest request;
    TimePoint enqueued;
    std::uint64_t sequence;
  };

  void BecomeCold(std::vector<GateAction>& actions);
  void Fill(TimePoint now, std::vector<GateAction>& actions);
  void RejectAll(Reason reason, std::vector<GateAction>& actions);
  std::optional<Reason> Closed() const;

  std::string target_id;
  GateLimits limits;
  GateAdmission admission;
  std::vector<Waiting> waiting;
  std::unordered_map<AttemptId, GateRequest> running;
  std::string start_id;
  std::uint64_t next_sequence = 0;
  std::uint32_t cold_successes = 0;
  std::uint32_t cold_window = 0;
  bool is_cold = true;
  bool is_draining = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_GATE_H_
