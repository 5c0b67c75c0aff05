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

/// State that this host holds about one process of the fleet.
struct Member {
  HostRecord record;
  TimePoint added;
  std::optional<TimePoint> last_received;  ///< last message from the process
  /// State observed by direct contact, for members of the own group.
  std::optional<HostState> observed_state;
  /// Time of the last report by a member of the group that it is live.
  std::optional<TimePoint> reported_live_at;
  /// Sending time of the newest acknowledged heartbeat; `positions` and
  /// `granting` are of its acknowledgement.
  std::optional<TimePoint> last_acknowledged;
  std::vector<ViewPosition> positions;
  bool granting = false;
  /// It has acknowledged this process as a member of its group, and its member
  /// list was merged.
  bool member_lists_merged = false;
  std::uint64_t peer_view = 0;              ///< view of its last heartbeat
  std::optional<TimePoint> heartbeat_sent;  ///< by the sender's clock
  std::map<std::string, std::uint32_t, std::less<>> in_flight;
  TimePoint in_flight_received_at;
  std::optional<Duration> round_trip;
  /// Number of gossip messages that will still contain the record.
  std::uint32_t remaining_gossip = 0;
  bool listed = false;  ///< the host list has named it
  std::optional<TimePoint> omitted_since;
  std::optional<TimePoint> unreachable_until;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBER_H_
