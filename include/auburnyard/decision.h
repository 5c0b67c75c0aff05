#ifndef AUBURNYARD_DECISION_H_
#define AUBURNYARD_DECISION_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "auburnyard/clock.h"
#include "auburnyard/reason.h"

namespace auburnyard {

/// Type of a decision record. The names are part of the log and trace format.
enum class DecisionEvent : std::uint8_t {
  kQueryReceived,
  kAttemptStarted,
  kHedge,
  kRetry,
  kRestart,
  kGateEnqueued,
  kGateRejected,
  kGateAborted,
  kDispatched,
  kResult,
  kFailure,
  kCancelled,
  kTimer,
  kCallerGone,
  kMapPublished,
  kLimitsSet,
  kAdmissionSet,
  kNote,  ///< a decision without an action, identified by its reason
  kFinished,
  kRefused,
};

inline constexpr std::size_t kDecisionEventCount =
    static_cast<std::size_t>(DecisionEvent::kRefused) + 1;

std::string_view ToString(DecisionEvent event);
std::optional<DecisionEvent> ParseDecisionEvent(std::string_view name);

/// Names of the numeric fields of a record.
enum class NumberName : std::uint8_t {
  kBegin,
  kEnd,
  kRun,          ///< RunState as a number
  kErrorKind,    ///< ErrorKind as a number
  kCoveragePpm,  ///< coverage in millionths
  kDeadlineMs,
  kPriority,  ///< PriorityClass as a number
  kIdempotent,
  kQueued,
  kInFlight,
  kWindow,
  kDelayUs,
  kLoad,
  kDraining,
  kRevision,
  kSlots,
  kColdLimit,
  kQueueLength,
  kDomainIn,
  kLeaving,
  kSent,  ///< 0: dispatched by the gate, but no byte reached the network
};

std::string_view ToString(NumberName name);
std::optional<NumberName> ParseNumberName(std::string_view name);

struct DecisionNumber {
  NumberName name = NumberName::kBegin;
  std::uint64_t value = 0;
  bool operator==(const DecisionNumber&) const = default;
};

/// Numeric fields of one record, stored inline to avoid an allocation per
/// record.
class DecisionNumbers {
 public:
  static constexpr std::size_t kCapacity = 4;

  DecisionNumbers() = default;
  DecisionNumbers(std::initializer_list<DecisionNumber> list);

  /// Throws Error(kInternal) if the record is full.
  void Add(NumberName name, std::uint64_t value);
  std::optional<std::uint64_t> Find(NumberName name) const;
  std::span<const DecisionNumber> all() const {
    return std::span(this->numbers).first(this->count);
  }
  bool operator==(const DecisionNumbers& other) const;

 private:
  std::array<DecisionNumber, kCapacity> numbers{};
  std::size_t count = 0;
};

/// Value of `attempt` in a record that belongs to no attempt.
inline constexpr std::uint32_t kNoAttempt = 0xffffffff;

/// One event or action of a decision. The decision log, `explain` and traces
/// use the same format.
struct DecisionRecord {
  Duration time{0};  ///< since an origin chosen by the writer
  std::string decision;
  DecisionEvent event = DecisionEvent::kTimer;
  std::optional<Reason> reason;
  std::string target;
  std::string shard;
  std::uint32_t attempt = kNoAttempt;
  std::string snapshot;
  std::string start_id;  ///< start identifier in a target's reply
  DecisionNumbers numbers;

  bool operator==(const DecisionRecord&) const = default;
};

/// One JSON object without a line break.
std::string SerializeDecisionRecord(const DecisionRecord& record);
/// Throws Error(kBadRequest) with the name of the invalid member.
DecisionRecord ParseDecisionRecord(std::string_view json);

}  // namespace auburnyard

#endif  // AUBURNYARD_DECISION_H_
