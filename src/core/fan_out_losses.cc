#include <algorithm>

#include "auburnyard/fan_out.h"

namespace auburnyard {

LossCause FanOut::CauseOf(const Attempt& attempt, TimePoint now) {
  if (!attempt.failure) {
    if (!attempt.open) {
      return LossCause::kFailed;
    }
    if (!attempt.sent) {
      return LossCause::kWaitingForConnection;
    }
    return attempt.target->Stalled(now) ? LossCause::kStalled
                                        : LossCause::kSlow;
  }
  switch (*attempt.failure) {
    case PartFailure::kUnreachable:
      return LossCause::kUnreachable;
    case PartFailure::kNotAdmitted:
      return LossCause::kWaitingForConnection;
    case PartFailure::kRefused:
      return LossCause::kRefused;
    case PartFailure::kLost:
      break;
  }
  return LossCause::kLost;
}

// A part has one cause: that of its first attempt, which a repeat was to make
// good.
LossCause FanOut::CauseOf(const Part& part, TimePoint now) {
  if (!part.attempts.empty()) {
    return CauseOf(part.attempts.front(), now);
  }
  if (part.bundle == nullptr) {
    return LossCause::kNoTarget;
  }
  if (part.bundle->open) {
    return part.bundle->sent ? LossCause::kBundleLate
                             : LossCause::kWaitingForConnection;
  }
  return part.bundle->answered ? LossCause::kMissingFromBundle
                               : LossCause::kBundleLost;
}

void FanOut::CountLosses(TimePoint now) {
  if (this->losses_counted) {
    return;
  }
  this->losses_counted = true;
  for (const Part& part : this->parts) {
    if (!part.answered) {
      ++this->loss_counts.at(static_cast<std::size_t>(CauseOf(part, now)));
    }
  }
}

}  // namespace auburnyard
