#include "auburnyard/hedging.h"

#include <algorithm>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Shorter delays would hedge requests within the ordinary latency variation.
constexpr milliseconds kMinHedgeDelay{10};
// Time for the reply to an abandoned exchange to arrive, so that its connection
// can be reused. Targets must not work on a request half a second after the
// caller disconnected.
constexpr milliseconds kLinger{350};
// Time for the same while an older request is in flight to the target. The
// reply to that one shows when the target replies again.
constexpr milliseconds kShortLinger{30};

}  // namespace

TimePoint HedgeTime(const TargetState& target,
                    const HedgeTiming& timing,
                    TimePoint now) {
  const Duration expected = target.Expected(now, timing.work);
  const TimePoint usual = now + target.Upper(now, timing.work);
  const TimePoint latest = timing.answer_by - expected;
  const TimePoint earliest =
      now + std::max<Duration>(expected + expected / 4, kMinHedgeDelay);
  return std::max(earliest, std::min(usual, latest));
}

bool IsHedgeInTime(const TargetState& target,
                   const HedgeTiming& timing,
                   TimePoint now) {
  const TimePoint due =
      now < timing.answer_by ? timing.answer_by : timing.deadline;
  return now + target.Delay(now, timing.work) < due;
}

Duration LingerTime(const TargetState& target, TimePoint sent_at) {
  return target.IsOldest(sent_at) ? kLinger : kShortLinger;
}

}  // namespace auburnyard
