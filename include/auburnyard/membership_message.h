#ifndef AUBURNYARD_MEMBERSHIP_MESSAGE_H_
#define AUBURNYARD_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/host_record.h"

namespace auburnyard {

/// Process that sent a message.
struct PeerIdentity {
  std::string id;
  std::string address;
  std::uint64_t nonce = 0;
};

/// Work that a host has running at a target.
struct InFlightWork {
  std::string target;
  std::uint32_t count = 0;
  bool operator==(const InFlightWork&) const = default;
};

/// Member list of an ownership group and the members that may own targets.
struct ViewPosition {
  std::uint64_t view = 0;  ///< hash of the member list
  std::uint64_t live = 0;  ///< bit i: member i, in order of id, is live
  bool operator==(const ViewPosition&) const = default;
};

struct Heartbeat {
  std::string domain;
  std::string group;
  TimePoint sent;  ///< clock of the sender; returned by the acknowledgement
  std::uint64_t view = 0;
  std::uint64_t revision = 0;
  bool serving = false;
  std::vector<HostRecord> records;  ///< present if the views differ
};

/// Guarantees that the sender uses no targets except those it owns in all of
/// `positions`; if `granting`, it also grants its share of other targets to
/// their owners.
struct HeartbeatAck {
  TimePoint sent;                       ///< copied from the heartbeat
  std::vector<ViewPosition> positions;  ///< the current one first
  bool granting = false;
  bool settled = false;  ///< up for at least `settle_time`
  std::vector<InFlightWork> in_flight;
  std::vector<HostRecord> records;  ///< present if the views differ
};

struct LeaveNotice {
  std::vector<InFlightWork> in_flight;
};

/// Recently changed records, and the hash of one part of the host table. A
/// receiver whose part differs replies with its records of that part.
struct GossipRecords {
  std::uint32_t part = 0;
  std::uint64_t part_hash = 0;
  bool answer = false;
  std::vector<HostRecord> records;
};

using MembershipMessage =
    std::variant<Heartbeat, HeartbeatAck, LeaveNotice, GossipRecords>;

struct OutgoingMessage {
  std::string address;
  MembershipMessage message;
};

/// Entry of the platform's host list.
struct ListedHost {
  std::string id;
  std::string address;
  std::string domain;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBERSHIP_MESSAGE_H_
