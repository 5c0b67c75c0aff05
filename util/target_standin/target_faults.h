#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_

#include <chrono>
#include <cstdint>

#include "src/core/json_reader.h"

namespace auburnyard::util {

/// Fault that is injected into a share of the replies.
enum class ReplyFault {
  kNone,
  kWrongAttempt,
  kWrongSnapshot,
  kWrongRange,
  kLate,       ///< delayed by `reply_delay`
  kDuplicate,  ///< the previous reply is sent again instead of this one
  kCrossed,    ///< two requests receive each other's reply
};

/// Source of the load that X-Load reports.
enum class LoadReport { kTrue, kLagging, kFixed, kAbsent };

/// Faults of one target that can be switched on and off at run time.
struct TargetFaults {
  bool frozen = false;  ///< accepts connections but sends no replies
  ReplyFault reply_fault = ReplyFault::kNone;
  double reply_fault_share = 1.0;
  std::chrono::milliseconds reply_delay{1000};
  LoadReport load_report = LoadReport::kTrue;
  std::chrono::milliseconds load_lag{1000};
  std::uint32_t load_value = 0;
};

/// Absent members keep their value. Throws Error(kBadRequest).
TargetFaults ParseTargetFaults(const detail::JsonReader& reader,
                               TargetFaults faults);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_
