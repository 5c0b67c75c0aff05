#include <algorithm>

#include "auburnyard/membership.h"
#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// With 1,200 hosts a part has about 38 records, so a reply is about 3 KB.
constexpr std::uint32_t kPartCount = 32;
// Each host forwards a change this many times; hosts that still miss it get it
// by the comparison of parts.
constexpr std::uint32_t kTransmissionsPerChange = 8;
constexpr std::size_t kMaxChangesPerMessage = 16;
constexpr std::size_t kMaxRecordsPerMessage = 64;

std::uint32_t PartOf(std::string_view id) {
  return static_cast<std::uint32_t>(HashText(id) % kPartCount);
}

std::uint64_t HashRecord(const HostRecord& record) {
  return MixBits(
      HashText(record.id) ^ MixBits(record.nonce) ^
      MixBits(record.revision * 4 + static_cast<std::uint64_t>(record.state)));
}

}  // namespace

void Membership::MarkChanged(Member& member) {
  member.remaining_gossip = kTransmissionsPerChange;
  ++this->change_count;
}

void Membership::MarkSelfChanged() {
  ++this->self_record.revision;
  this->remaining_self_gossip = kTransmissionsPerChange;
  ++this->change_count;
}

void Membership::Merge(const HostRecord& record, TimePoint now) {
  if (record.id.empty()) {
    return;
  }
  if (record.id == this->self_record.id) {
    this->MergeSelf(record, now);
    return;
  }
  // A host that a peer reports as left may be listed again, so its address
  // remains a contact, to which heartbeats are sent.
  if (record.state != HostState::kLeft) {
    this->contacts.erase(record.address);
    this->listed_contacts.erase(record.address);
  }
  const auto found = this->members.find(record.id);
  if (found == this->members.end() ||
      record.nonce > found->second.record.nonce) {
    const bool listed = found != this->members.end() && found->second.listed;
    Member& member = this->members[record.id];
    member = Member{};
    member.record = record;
    member.added = now;
    member.listed = listed;
    this->MarkChanged(member);
    return;
  }
  Member& member = found->second;
  // A member of the own group is removed only by the host list that this host
  // itself has read; see RemoveOmitted.
  const bool unconfirmed = record.leave_source == LeaveSource::kHostList &&
                           this->InGroup(member.record);
  if (!unconfirmed && IsNewer(record, member.record)) {
    member.record = record;
    this->MarkChanged(member);
  }
}

// A member of the own group that a peer reports live counts as a member again,
// even if this host removed it by the host list.
void Membership::MergeReported(const HostRecord& record, TimePoint now) {
  this->Merge(record, now);
  const auto found = this->members.find(record.id);
  if (found == this->members.end() || !this->InGroup(record) ||
      record.state != HostState::kLive ||
      record.nonce != found->second.record.nonce) {
    return;
  }
  Member& member = found->second;
  member.reported_live_at = now;
  if (member.record.leave_source == LeaveSource::kHostList) {
    member.record.state = HostState::kSuspected;
    member.record.leave_source = LeaveSource::kNone;
    member.observed_state = HostState::kSuspected;
    ++member.record.revision;
    this->MarkChanged(member);
  }
}

void Membership::MergeSelf(const HostRecord& record, TimePoint now) {
  if (this->has_left || record.nonce < this->self_record.nonce) {
    return;
  }
  if (record.nonce > this->self_record.nonce) {
    // The wall clock was set back between two starts, so peers treat this
    // process as older than the previous one.
    this->self_record.nonce = record.nonce + 1;
    this->started = now;
    this->ResetAdmission(now, /*only_unacknowledged=*/false);
    this->MarkSelfChanged();
    this->UpdatePosition(now);
    return;
  }
  if (record.revision > this->self_record.revision ||
      (record.revision == this->self_record.revision &&
       record.state != HostState::kLive)) {
    this->self_record.revision = record.revision;
    this->MarkSelfChanged();
  }
}

std::vector<HostRecord> Membership::RecordsFor(std::string_view domain,
                                               std::string_view group) const {
  std::vector<HostRecord> records = {this->self_record};
  std::vector<HostRecord> rest;
  for (const auto& [id, member] : this->members) {
    const bool in_requested_group =
        member.record.domain == domain && member.record.group == group;
    if (in_requested_group && records.size() < kMaxRecordsPerMessage) {
      records.push_back(member.record);
    } else if (!in_requested_group && rest.size() < kMaxRecordsPerMessage) {
      rest.push_back(member.record);
    }
  }
  // A host of another group sends heartbeats only when it starts; it needs
  // peers for gossip.
  if (domain != this->self_record.domain || group != this->self_record.group) {
    const std::size_t room =
        kMaxRecordsPerMessage - std::min(kMaxRecordsPerMessage, records.size());
    rest.resize(std::min(rest.size(), room));
    records.insert(records.end(), rest.begin(), rest.end());
  }
  return records;
}

std::uint64_t Membership::PartHash(std::uint32_t part) const {
  std::uint64_t hash = 0;
  for (const HostRecord& record : this->RecordsOfPart(part)) {
    hash += HashRecord(record);
  }
  return hash;
}

std::vector<HostRecord> Membership::RecordsOfPart(std::uint32_t part) const {
  std::vector<HostRecord> records;
  if (PartOf(this->self_record.id) == part) {
    records.push_back(this->self_record);
  }
  for (const auto& [id, member] : this->members) {
    if (PartOf(id) == part) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<HostRecord> Membership::TakeChanges() {
  std::vector<HostRecord> records;
  if (this->remaining_self_gossip > 0) {
    --this->remaining_self_gossip;
    records.push_back(this->self_record);
  }
  for (auto& [id, member] : this->members) {
    if (member.remaining_gossip > 0 && records.size() < kMaxChangesPerMessage) {
      --member.remaining_gossip;
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<std::string> Membership::RandomPeers(std::size_t count) {
  std::vector<std::string> all;
  for (const auto& [id, member] : this->members) {
    if (member.record.state == HostState::kLive) {
      all.push_back(id);
    }
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !all.empty()) {
    const std::size_t index = this->random() % all.size();
    chosen.push_back(std::move(all.at(index)));
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

std::vector<OutgoingMessage> Membership::GossipRound(std::size_t fan_out) {
  GossipRecords message;
  message.part = this->next_part++ % kPartCount;
  message.part_hash = this->PartHash(message.part);
  std::vector<OutgoingMessage> messages;
  for (const std::string& id : this->RandomPeers(fan_out)) {
    message.records = this->TakeChanges();
    messages.push_back({this->members.at(id).record.address, message});
  }
  return messages;
}

std::vector<OutgoingMessage> Membership::OnGossip(const PeerIdentity& sender,
                                                  const GossipRecords& message,
                                                  TimePoint now) {
  for (const HostRecord& record : message.records) {
    this->Merge(record, now);
  }
  this->RecordReceipt(sender, now);
  this->Refresh(now);
  if (message.answer || message.part >= kPartCount ||
      this->PartHash(message.part) == message.part_hash) {
    return {};
  }
  GossipRecords answer;
  answer.part = message.part;
  answer.answer = true;
  answer.records = this->RecordsOfPart(message.part);
  return {{sender.address, std::move(answer)}};
}

}  // namespace auburnyard
