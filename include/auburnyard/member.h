#ifndef AUBURNYARD_MEMBER_H_
#define AUBURNYARD_MEMBER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/host_record.h"
#include "auburnyard/membership_message.h"

namespace auburnyard {

/// What this host knows of one process of the fleet.
struct Member {
  HostRecord record;
  TimePoint added;
  std::optional<TimePoint> heard;
  /// State by direct contact, for members of the own group.
  std::optional<HostState> observed;
  /// A member of the group last reported it live.
  std::optional<TimePoint> reported_live;
  /// Sending time of the newest acknowledged heartbeat, and its answer.
  std::optional<TimePoint> granted;
  std::vector<ViewPosition> positions;
  bool granting = false;
  /// Knows this process as a member, and its member list was merged.
  bool established = false;
  std::uint64_t peer_view = 0;              ///< view of its last heartbeat
  std::optional<TimePoint> heartbeat_sent;  ///< by the sender's clock
  std::map<std::string, std::uint32_t, std::less<>> in_flight;
  TimePoint in_flight_at;
  std::optional<Duration> round_trip;
  std::uint32_t gossip_left = 0;  ///< messages that still carry the record
  bool listed = false;            ///< the host list has named it
  std::optional<TimePoint> omitted_since;
  std::optional<TimePoint> unreachable_until;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBER_H_
