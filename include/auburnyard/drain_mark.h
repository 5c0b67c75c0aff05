#ifndef AUBURNYARD_DRAIN_MARK_H_
#define AUBURNYARD_DRAIN_MARK_H_

#include <optional>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Whether a target asked for no new work. The mark ends after a hold, because
/// a target that gets no requests cannot report its return in a reply.
class DrainMark {
 public:
  void Set(TimePoint until) { this->held_until = until; }
  void Clear() { this->held_until.reset(); }
  bool draining() const { return this->held_until.has_value(); }
  /// Ends a mark whose hold has elapsed. Returns true if one ended.
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
