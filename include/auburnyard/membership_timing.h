#ifndef AUBURNYARD_MEMBERSHIP_TIMING_H_
#define AUBURNYARD_MEMBERSHIP_TIMING_H_

#include <chrono>

#include "auburnyard/clock.h"

namespace auburnyard {

inline constexpr std::chrono::milliseconds kGrantTtl{1'000};

/// Time constants of membership. All hosts of a fleet use the same values.
struct MembershipTiming {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Three heartbeats were missed.
  Duration suspect_after = std::chrono::milliseconds(1'500);
  /// Age at which an acknowledgement stops counting, from the sending of the
  /// heartbeat.
  Duration grant_ttl = kGrantTtl;
  /// How long a replaced position binds this host. Exceeds `grant_ttl` by the
  /// drift of two clocks over that time with ample margin.
  Duration promise_hold = std::chrono::milliseconds(1'050);
  /// A process that has been up this long has heard from every host that
  /// counts it as a member.
  Duration settle_time = std::chrono::milliseconds(1'500);
  /// Longer gaps between timer events count as a pause, after which the group
  /// must admit this host again. Below `gone_delay`.
  Duration pause_limit = std::chrono::milliseconds(3'000);
  /// A suspected host counts as gone after the host list has omitted it for
  /// this long. Exceeds the interval at which a host reads the list and learns
  /// that it is omitted itself.
  Duration gone_delay = std::chrono::milliseconds(5'000);
  /// In-flight work that a silent or departed host reported is subtracted for
  /// this long.
  Duration in_flight_hold = std::chrono::milliseconds(5'000);
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBERSHIP_TIMING_H_
