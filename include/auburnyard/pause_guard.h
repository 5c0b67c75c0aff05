#ifndef AUBURNYARD_PAUSE_GUARD_H_
#define AUBURNYARD_PAUSE_GUARD_H_

#include <mutex>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Dates messages that may have waited in a queue while this process was
/// paused. Thread-safe.
class PauseGuard {
 public:
  static constexpr std::chrono::milliseconds kTick{100};

  explicit PauseGuard(TimePoint now);

  /// To be called every `kTick`.
  void Tick(TimePoint now);
  /// A time not later than the sending of a message that is received at `now`:
  /// the last tick, or the start of a pause that ended a short time ago.
  TimePoint SentAfter(TimePoint now);

 private:
  void Detect(TimePoint now);

  std::mutex mutex;
  TimePoint last_tick;
  TimePoint pause_begin;
  TimePoint distrust_until;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_PAUSE_GUARD_H_
