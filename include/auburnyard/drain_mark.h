#ifndef AUBURNYARD_DRAIN_MARK_H_
#define AUBURNYARD_DRAIN_MARK_H_

#include <optional>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Drain state of a target, set when a reply reports that the target accepts no
/// new work. The mark expires after a hold time, because a target that receives
/// no requests cannot report the end of its drain in a reply.
class DrainMark {
 public:
  void Set(TimePoint until) { this->held_until = until; }
  void Clear() { this->held_until.reset(); }
  bool draining() const { return this->held_until.has_value(); }
  /// Clears the mark if its hold time has elapsed. Returns true if it did.
  bool Expire(TimePoint now) {
    const bool ended = this->held_until && *this->held_until <= now;
    if (ended) {
      this->held_until.reset();
    }
    return ended;
  }

 private:
  std::optional<TimePoint> held_until;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_DRAIN_MARK_H_
