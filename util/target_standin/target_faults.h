#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_

#include <chrono>
#include <cstdint>

#include "src/core/json_reader.h"

namespace auburnyard::util {

/// What is wrong with a share of the replies.
enum class ReplyFault {
  kNone,
  kWrongAttempt,
  kWrongSnapshot,
  kWrongRange,
  kLate,       ///< held back for `reply_delay`
  kDuplicate,  ///< the previous reply is delivered again in place of this one
  kCrossed,    ///< two requests receive each other's reply
};

/// What X-Load reports.
enum class LoadReport { kTrue, kLagging, kFixed, kAbsent };

/// Faults of one target that can be switched at run time.
struct TargetFaults {
  bool frozen = false;  ///< accepts connections and answers nothing
  ReplyFault reply_fault = ReplyFault::kNone;
  double reply_fault_share = 1.0;
  std::chrono::milliseconds reply_delay{1000};
  LoadReport load_report = LoadReport::kTrue;
  std::chrono::milliseconds load_lag{1000};
  std::uint32_t load_value = 0;
};

/// Members that are absent keep their value. Throws Error(kBadRequest).
TargetFaults ParseTargetFaults(const detail::JsonReader& reader,
                               TargetFaults faults);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_FAULTS_H_
