#ifndef AUBURNYARD_MEMBERSHIP_H_
#define AUBURNYARD_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/group_view.h"
#include "auburnyard/member.h"
#include "auburnyard/membership_message.h"
#include "auburnyard/membership_timing.h"

namespace auburnyard {

/// Hosts of the fleet as observed by one host. Does no I/O: takes events and
/// the time, and returns messages. Not synchronized.
class Membership {
 public:
  using Members = std::map<std::string, Member, std::less<>>;

  /// Member list and live subset that bind this host until `until`; the current
  /// position has no end.
  struct Position {
    GroupView view;
    std::uint64_t live = 0;
    std::optional<TimePoint> until;
  };

  /// `expects_peers`: serve only after a host list or a peer was received.
  Membership(HostRecord self,
             MembershipTiming timing,
             bool expects_peers,
             std::uint64_t seed,
             TimePoint now);

  /// Adds an address to contact until a host with this address is known.
  void AddContact(const std::string& address);
  /// Sets the work that this host has running; sent with acknowledgements.
  void SetInFlight(std::vector<InFlightWork> work);

  std::vector<OutgoingMessage> OnHeartbeat(const PeerIdentity& sender,
                                           const Heartbeat& message,
                                           TimePoint now);
  void OnHeartbeatAck(const PeerIdentity& sender,
                      const HeartbeatAck& message,
                      TimePoint now);
  void OnLeave(const PeerIdentity& sender,
               const LeaveNotice& message,
               TimePoint now);
  std::vector<OutgoingMessage> OnGossip(const PeerIdentity& sender,
                                        const GossipRecords& message,
                                        TimePoint now);
  /// `interval`: time between two reads of the list.
  void OnHostList(std::span<const ListedHost> hosts,
                  Duration interval,
                  TimePoint now);
  /// Returns the heartbeats that are due. Call at least every
  /// `heartbeat_interval`.
  std::vector<OutgoingMessage> Tick(TimePoint now);
  /// Returns gossip for up to `fan_out` random live hosts.
  std::vector<OutgoingMessage> GossipRound(std::size_t fan_out);
  /// Stops serving and returns leave messages for the group and for a few other
  /// hosts. May be repeated while work is in flight.
  std::vector<OutgoingMessage> Leave(TimePoint now);
  /// A host outside the group does not respond. For a limited time, or until a
  /// message from it arrives, Ownership does not name it as an owner.
  void ReportUnreachable(std::string_view id, TimePoint now);

  const HostRecord& self() const { return this->self_record; }
  const Members& peers() const { return this->members; }
  /// Hosts of the own group, including those that have left.
  const std::vector<const Member*>& group() const {
    return this->group_members;
  }
  const MembershipTiming& timing() const { return this->times; }
  /// Positions that bind this host; the current one is first.
  const std::deque<Position>& positions() const {
    return this->binding_positions;
  }
  /// Member list with this hash if it is the current one of this host or one of
  /// its recent ones, otherwise null.
  const GroupView* FindView(std::uint64_t hash) const;
  HostState StateOf(const Member& member, TimePoint now) const;
  bool InGroup(const HostRecord& record) const;
  bool admitted() const { return this->is_admitted; }
  /// Whether the process was stopped for longer than `pause_limit`.
  bool IsPaused(TimePoint now) const;
  /// Increases with every change that can change an owner.
  std::uint64_t version() const { return this->change_count; }
  /// Live hosts other than this one, in random order.
  std::vector<std::string> RandomPeers(std::size_t count);

 private:
  Member* RecordReceipt(const PeerIdentity& sender, TimePoint now);
  void Merge(const HostRecord& record, TimePoint now);
  void MergeReported(const HostRecord& record, TimePoint now);
  void MergeSelf(const HostRecord& record, TimePoint now);
  void MarkLeft(Member& member, LeaveSource source);
  HeartbeatAck MakeAck(const Heartbeat& message,
                       bool in_group,
                       TimePoint now) const;
  void StoreHeartbeat(Member& member, const Heartbeat& message);
  void StoreAck(Member& member, const HeartbeatAck& message, TimePoint now);
  void Refresh(TimePoint now);
  void UpdateStates(TimePoint now);
  void UpdateAdmission(TimePoint now);
  void UpdatePosition(TimePoint now);
  void ResetAdmission(TimePoint now, bool only_unacknowledged);
  void RemoveOmitted(TimePoint now);
  void UpdateContacts(std::span<const ListedHost> hosts, TimePoint now);
  bool IsReportedLive(std::string_view id, TimePoint now) const;
  bool IsSettled(TimePoint now) const;
  Position CurrentPosition(TimePoint now) const;
  Heartbeat MakeHeartbeat(TimePoint now) const;
  std::vector<OutgoingMessage> MakeHeartbeats(TimePoint now);
  bool HasTimedOut(const Member& member, TimePoint now) const;
  std::vector<HostRecord> RecordsFor(std::string_view domain,
                                     std::string_view group) const;
  std::uint64_t PartHash(std::uint32_t part) const;
  std::vector<HostRecord> RecordsOfPart(std::uint32_t part) const;
  std::vector<HostRecord> TakeChanges();
  void MarkChanged(Member& member);
  void MarkSelfChanged();

  HostRecord self_record;
  MembershipTiming times;
  bool expects_peers;
  std::mt19937_64 random;
  Members members;
  std::set<std::string> contacts;  // addresses of no current member
  // Addresses of this domain in the host list that are of no current member,
  // and the time at which they were last listed.
  std::map<std::string, TimePoint> listed_contacts;
  std::vector<InFlightWork> local_work;
  std::deque<Position> binding_positions;
  std::deque<GroupView> past_views;
  std::vector<const Member*> group_members;
  TimePoint started;
  TimePoint last_tick;
  std::optional<TimePoint> last_heartbeat;
  TimePoint admission_reset;
  Duration removal_delay;
  std::uint64_t heartbeat_count = 0;
  std::uint32_t next_part = 0;
  std::uint32_t remaining_self_gossip = 0;
  std::uint64_t change_count = 0;
  std::optional<TimePoint> listed_since;
  bool fleet_contacted = false;  // a host or the host list has replied
  bool self_omitted = false;     // the last host list omits this host
  bool is_admitted = false;
  bool has_left = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMBERSHIP_H_
