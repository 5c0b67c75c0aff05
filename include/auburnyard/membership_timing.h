#ifndef AUBURNYARD_MEMBERSHIP_TIMING_H_
#define AUBURNYARD_MEMBERSHIP_TIMING_H_

#include <chrono>

#include "auburnyard/clock.h"

namespace auburnyard {

inline constexpr std::chrono::milliseconds kGrantTtl{1'000};

/// Time constants of membership. All hosts of a fleet use the same values.
struct MembershipTiming {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Time without a message after which a member is suspected: three missed
  /// heartbeats.
  Duration suspect_after = std::chrono::milliseconds(1'500);
  /// Time from the sending of a heartbeat for which its acknowledgement is
  /// valid.
  Duration grant_ttl = kGrantTtl;
  /// Time for which a replaced position still binds this host. Exceeds
  /// `grant_ttl` by much more than two clocks drift apart over that time.
  Duration position_hold = std::chrono::milliseconds(1'050);
  /// A process that has been up this long has received a message from every
  /// host that counts it as a member.
  Duration settle_time = std::chrono::milliseconds(1'500);
  /// A longer gap between timer events counts as a pause, after which the group
  /// must admit this host again. Must be less than `min_removal_delay`.
  Duration pause_limit = std::chrono::milliseconds(3'000);
  /// Minimum time for which the host list must omit a suspected host before it
  /// is removed. Must exceed the interval at which a host reads the list, so
  /// that an omitted host detects the omission first.
  Duration min_removal_delay = std::chrono::milliseconds(5'000);
  /// Time for which in-flight work last reported by a host that timed out or
  /// left is subtracted.
  Duration in_flight_hold = std::chrono::milliseconds(5'000);
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBERSHIP_TIMING_H_
