#include "auburnyard/membership.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

namespace {

// Contacts that have not replied get every heartbeat until the process has
// settled, and one in four afterwards.
constexpr std::uint64_t kHeartbeatsPerContactRound = 4;

}  // namespace

Membership::Membership(HostRecord self,
                       MembershipTiming timing,
                       bool waits_for_peers,
                       std::uint64_t seed,
                       TimePoint now)
    : self_record(std::move(self)),
      times(timing),
      expects_peers(waits_for_peers),
      random(seed),
      started(now),
      last_tick(now),
      admission_reset(now),
      removal_delay(timing.min_removal_delay) {
  this->MarkSelfChanged();
  this->binding_positions.push_front(this->CurrentPosition(now));
}

void Membership::AddContact(const std::string& address) {
  if (address != this->self_record.address) {
    this->contacts.insert(address);
  }
}

void Membership::SetInFlight(std::vector<InFlightWork> work) {
  this->local_work = std::move(work);
}

Member* Membership::RecordReceipt(const PeerIdentity& sender, TimePoint now) {
  const auto found = this->members.find(sender.id);
  if (found == this->members.end()) {
    return nullptr;
  }
  Member& member = found->second;
  if (member.record.nonce != sender.nonce ||
      member.record.leave_source == LeaveSource::kLeaveMessage) {
    return nullptr;
  }
  member.last_received = now;
  if (member.unreachable_until) {
    member.unreachable_until.reset();
    ++this->change_count;
  }
  if (member.record.state == HostState::kLeft) {
    member.record.state = HostState::kLive;
    member.record.leave_source = LeaveSource::kNone;
    member.omitted_since.reset();
    ++member.record.revision;
    this->MarkChanged(member);
  }
  return &member;
}

std::vector<OutgoingMessage> Membership::OnHeartbeat(const PeerIdentity& sender,
                                                     const Heartbeat& message,
                                                     TimePoint now) {
  HostRecord record{sender.id,     sender.address, message.domain,
                    message.group, sender.nonce,   message.revision};
  record.serving = message.serving;
  const bool in_group = this->InGroup(record);
  this->Merge(record, now);
  for (const HostRecord& entry : message.records) {
    this->MergeReported(entry, now);
  }
  Member* member = this->RecordReceipt(sender, now);
  if (member == nullptr || this->has_left) {
    return {};
  }
  this->StoreHeartbeat(*member, message);
  this->Refresh(now);
  return {{sender.address, this->MakeAck(message, in_group, now)}};
}

// The heartbeat of a process is authoritative on whether it serves: its record
// here may have a higher revision that was set by another host.
void Membership::StoreHeartbeat(Member& member, const Heartbeat& message) {
  if (member.heartbeat_sent && message.sent < *member.heartbeat_sent) {
    return;
  }
  member.heartbeat_sent = message.sent;
  member.peer_view = message.view;
  if (member.record.serving != message.serving) {
    member.record.serving = message.serving;
    ++member.record.revision;
    this->MarkChanged(member);
  }
}

HeartbeatAck Membership::MakeAck(const Heartbeat& message,
                                 bool in_group,
                                 TimePoint now) const {
  HeartbeatAck ack;
  ack.sent = message.sent;
  ack.granting = this->is_admitted;
  ack.settled = this->IsSettled(now);
  if (in_group) {
    for (const Position& position : this->binding_positions) {
      ack.positions.push_back({position.view.hash(), position.live});
    }
    ack.in_flight = this->local_work;
  }
  if (!in_group ||
      message.view != this->binding_positions.front().view.hash()) {
    ack.records = this->RecordsFor(message.domain, message.group);
  }
  return ack;
}

void Membership::OnHeartbeatAck(const PeerIdentity& sender,
                                const HeartbeatAck& message,
                                TimePoint now) {
  // The sender of an acknowledgement to an old heartbeat may have removed this
  // host since.
  if (message.sent > now || message.sent + this->times.grant_ttl <= now) {
    return;
  }
  for (const HostRecord& record : message.records) {
    this->MergeReported(record, now);
  }
  Member* member = this->RecordReceipt(sender, now);
  if (member == nullptr) {
    return;
  }
  member->round_trip = now - message.sent;
  // A host of another group replies with the members of this group that it has.
  this->fleet_contacted =
      this->fleet_contacted || message.sent >= this->admission_reset;
  this->Refresh(now);
  if (this->InGroup(member->record)) {
    this->StoreAck(*member, message, now);
    this->Refresh(now);
  }
}

void Membership::StoreAck(Member& member,
                          const HeartbeatAck& message,
                          TimePoint now) {
  if (!member.last_acknowledged || message.sent >= *member.last_acknowledged) {
    member.last_acknowledged = message.sent;
    member.positions = message.positions;
    member.granting = message.granting;
    member.in_flight.clear();
    for (const InFlightWork& work : message.in_flight) {
      member.in_flight[work.target] = work.count;
    }
    member.in_flight_received_at = now;
  }
  const bool same_view = !message.positions.empty() &&
                         message.positions.front().view ==
                             this->binding_positions.front().view.hash();
  if (message.settled && message.sent >= this->admission_reset &&
      (same_view || !message.records.empty())) {
    member.member_lists_merged = true;
  }
}

void Membership::OnLeave(const PeerIdentity& sender,
                         const LeaveNotice& message,
                         TimePoint now) {
  const auto found = this->members.find(sender.id);
  if (found == this->members.end() ||
      found->second.record.nonce != sender.nonce) {
    return;
  }
  Member& member = found->second;
  member.in_flight.clear();
  for (const InFlightWork& work : message.in_flight) {
    member.in_flight[work.target] = work.count;
  }
  member.in_flight_received_at = now;
  if (member.record.leave_source != LeaveSource::kLeaveMessage) {
    this->MarkLeft(member, LeaveSource::kLeaveMessage);
  }
  this->Refresh(now);
}

std::vector<OutgoingMessage> Membership::Leave(TimePoint now) {
  if (!this->has_left) {
    this->has_left = true;
    this->is_admitted = false;
    this->self_record.serving = false;
    this->self_record.state = HostState::kLeft;
    this->self_record.leave_source = LeaveSource::kLeaveMessage;
    this->MarkSelfChanged();
    this->UpdatePosition(now);
  }
  std::vector<OutgoingMessage> messages;
  for (const Member* member : this->group_members) {
    if (member->record.state != HostState::kLeft) {
      messages.push_back(
          {member->record.address, LeaveNotice{this->local_work}});
    }
  }
  constexpr std::size_t kMaxOtherGroupHosts = 3;
  for (const std::string& id : this->RandomPeers(kMaxOtherGroupHosts)) {
    const HostRecord& peer = this->members.at(id).record;
    if (!this->InGroup(peer)) {
      messages.push_back({peer.address, LeaveNotice{}});
    }
  }
  return messages;
}

void Membership::MarkLeft(Member& member, LeaveSource source) {
  member.record.state = HostState::kLeft;
  member.record.leave_source = source;
  member.record.serving = false;
  ++member.record.revision;
  this->MarkChanged(member);
}

std::vector<OutgoingMessage> Membership::Tick(TimePoint now) {
  if (this->IsPaused(now)) {
    this->ResetAdmission(now, /*only_unacknowledged=*/false);
  }
  this->last_tick = now;
  this->Refresh(now);
  if (this->has_left ||
      (this->last_heartbeat &&
       now - *this->last_heartbeat < this->times.heartbeat_interval)) {
    return {};
  }
  this->last_heartbeat = now;
  return this->MakeHeartbeats(now);
}

Heartbeat Membership::MakeHeartbeat(TimePoint now) const {
  Heartbeat heartbeat;
  heartbeat.domain = this->self_record.domain;
  heartbeat.group = this->self_record.group;
  heartbeat.sent = now;
  heartbeat.view = this->binding_positions.front().view.hash();
  heartbeat.revision = this->self_record.revision;
  heartbeat.serving = this->self_record.serving;
  return heartbeat;
}

std::vector<OutgoingMessage> Membership::MakeHeartbeats(TimePoint now) {
  std::vector<OutgoingMessage> messages;
  const Heartbeat heartbeat = this->MakeHeartbeat(now);
  for (const Member* member : this->group_members) {
    if (member->record.state == HostState::kLeft) {
      continue;
    }
    Heartbeat copy = heartbeat;
    if (member->peer_view != 0 && member->peer_view != copy.view) {
      copy.records =
          this->RecordsFor(this->self_record.domain, this->self_record.group);
    }
    messages.push_back({member->record.address, std::move(copy)});
  }
  if (!this->IsSettled(now) ||
      this->heartbeat_count % kHeartbeatsPerContactRound == 0) {
    std::set<std::string> addresses = this->contacts;
    for (const auto& [address, listed_at] : this->listed_contacts) {
      addresses.insert(address);
    }
    for (const std::string& address : addresses) {
      messages.push_back({address, heartbeat});
    }
  }
  ++this->heartbeat_count;
  return messages;
}

}  // namespace auburnyard
