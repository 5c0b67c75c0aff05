#include <algorithm>

#include "auburnyard/membership.h"

namespace auburnyard {

namespace {

// Previous member lists that are kept, because positions of peers can still
// refer to them.
constexpr std::size_t kMaxPastViews = 8;
constexpr std::chrono::seconds kUnreachableTime{5};

}  // namespace

bool Membership::InGroup(const HostRecord& record) const {
  return record.domain == this->self_record.domain &&
         record.group == this->self_record.group;
}

bool Membership::HasTimedOut(const Member& member, TimePoint now) const {
  return !member.last_received ||
         *member.last_received + this->times.suspect_after <= now;
}

// Members of the own group count as live only if this host itself receives
// their messages. The state of other hosts is determined by their own group and
// received by gossip.
HostState Membership::StateOf(const Member& member, TimePoint now) const {
  if (member.record.state == HostState::kLeft ||
      !this->InGroup(member.record)) {
    return member.record.state;
  }
  return this->HasTimedOut(member, now) ? HostState::kSuspected
                                        : HostState::kLive;
}

bool Membership::IsPaused(TimePoint now) const {
  return now - this->last_tick > this->times.pause_limit;
}

bool Membership::IsSettled(TimePoint now) const {
  return now - this->started >= this->times.settle_time;
}

const GroupView* Membership::FindView(std::uint64_t hash) const {
  if (this->binding_positions.front().view.hash() == hash) {
    return &this->binding_positions.front().view;
  }
  const auto found = std::find_if(
      this->past_views.begin(), this->past_views.end(),
      [hash](const GroupView& view) { return view.hash() == hash; });
  return found == this->past_views.end() ? nullptr : &*found;
}

void Membership::ReportUnreachable(std::string_view id, TimePoint now) {
  const auto found = this->members.find(id);
  if (found != this->members.end() && !this->InGroup(found->second.record)) {
    found->second.unreachable_until = now + kUnreachableTime;
    ++this->change_count;
  }
}

void Membership::Refresh(TimePoint now) {
  if (this->self_omitted) {
    // Members that do not acknowledge this host may have removed it, or are
    // about to.
    this->ResetAdmission(now, /*only_unacknowledged=*/true);
  }
  this->UpdateStates(now);
  this->UpdatePosition(now);
  this->UpdateAdmission(now);
}

// A record changes only when the state observed by this host changes. Otherwise
// two hosts that observe different states of a third would overwrite each
// other's record indefinitely.
void Membership::UpdateStates(TimePoint now) {
  for (auto& [id, member] : this->members) {
    if (!this->InGroup(member.record) ||
        member.record.state == HostState::kLeft) {
      continue;
    }
    const HostState state = this->StateOf(member, now);
    const bool waiting =
        !member.last_received && now - member.added < this->times.suspect_after;
    if (member.observed_state == state || waiting) {
      continue;
    }
    member.observed_state = state;
    if (member.record.state != state) {
      member.record.state = state;
      ++member.record.revision;
      this->MarkChanged(member);
    }
  }
}

Membership::Position Membership::CurrentPosition(TimePoint now) const {
  std::vector<GroupView::Member> list = {
      {this->self_record.id, this->self_record.nonce}};
  for (const Member* member : this->group_members) {
    if (member->record.state != HostState::kLeft) {
      list.push_back({member->record.id, member->record.nonce});
    }
  }
  Position position{GroupView(std::move(list)), 0, std::nullopt};
  const std::vector<GroupView::Member>& sorted = position.view.members();
  for (std::size_t i = 0; i < sorted.size() && i < GroupView::kMaxMembers;
       ++i) {
    const bool is_self = sorted.at(i).id == this->self_record.id;
    const Member* member =
        is_self ? nullptr : &this->members.find(sorted.at(i).id)->second;
    const bool live =
        is_self ? this->is_admitted
                : member->record.serving && !this->HasTimedOut(*member, now);
    position.live |= live ? std::uint64_t{1} << i : 0;
  }
  return position;
}

void Membership::UpdatePosition(TimePoint now) {
  this->group_members.clear();
  for (const auto& [id, member] : this->members) {
    if (this->InGroup(member.record)) {
      this->group_members.push_back(&member);
    }
  }
  std::erase_if(this->binding_positions, [now](const Position& position) {
    return position.until && *position.until <= now;
  });
  Position position = this->CurrentPosition(now);
  Position& current = this->binding_positions.front();
  const bool same_view = position.view.hash() == current.view.hash();
  if (same_view && position.live == current.live) {
    return;
  }
  if (!same_view) {
    this->past_views.push_front(current.view);
    if (this->past_views.size() > kMaxPastViews) {
      this->past_views.pop_back();
    }
  }
  current.until = now + this->times.position_hold;
  this->binding_positions.push_front(std::move(position));
  ++this->change_count;
}

// A host that the host list omits is not admitted: hosts that it cannot reach
// may have removed it, and it may have removed them.
void Membership::UpdateAdmission(TimePoint now) {
  if (this->is_admitted || this->has_left || this->self_omitted ||
      !this->IsSettled(now) || !this->listed_contacts.empty()) {
    return;
  }
  bool has_granting_member = false;
  for (const Member* member : this->group_members) {
    if (member->record.state == HostState::kLeft) {
      continue;
    }
    if (!member->member_lists_merged) {
      return;
    }
    has_granting_member = has_granting_member || member->granting;
  }
  // Without a granting member, a host waits until hosts that it has no record
  // of have read its entry in the host list.
  const TimePoint since = std::max(this->admission_reset,
                                   this->listed_since.value_or(this->started));
  const bool wait_elapsed =
      this->fleet_contacted && now - since >= this->removal_delay;
  if (has_granting_member || wait_elapsed || !this->expects_peers) {
    this->is_admitted = true;
    this->self_record.serving = true;
    this->MarkSelfChanged();
    this->UpdatePosition(now);
  }
}

void Membership::ResetAdmission(TimePoint now, bool only_unacknowledged) {
  bool any = !only_unacknowledged || !this->listed_contacts.empty();
  for (auto& [id, member] : this->members) {
    // The last acknowledgement, not the last message, shows when the member
    // received from this host; a network partition may affect one direction
    // only.
    const bool unacknowledged =
        !member.last_acknowledged ||
        *member.last_acknowledged + this->times.suspect_after <= now;
    if (this->InGroup(member.record) &&
        member.record.state != HostState::kLeft &&
        (!only_unacknowledged || unacknowledged)) {
      member.member_lists_merged = false;
      any = true;
    }
  }
  if (!any) {
    return;
  }
  if (!only_unacknowledged) {
    // State from before a pause is no longer valid.
    this->admission_reset = now;
    this->fleet_contacted = false;
    this->listed_since.reset();
  }
  if (this->is_admitted) {
    this->is_admitted = false;
    this->self_record.serving = false;
    this->MarkSelfChanged();
    this->UpdatePosition(now);
  }
}

bool Membership::IsReportedLive(std::string_view id, TimePoint now) const {
  const Member& subject = this->members.find(id)->second;
  if (subject.reported_live_at &&
      *subject.reported_live_at + this->times.suspect_after > now) {
    return true;
  }
  const GroupView& view = this->binding_positions.front().view;
  const std::optional<std::size_t> index = view.IndexOf(id);
  if (!index || *index >= GroupView::kMaxMembers) {
    return false;
  }
  return std::any_of(
      this->group_members.begin(), this->group_members.end(),
      [this, &view, index, now](const Member* member) {
        return !this->HasTimedOut(*member, now) && !member->positions.empty() &&
               member->positions.front().view == view.hash() &&
               ((member->positions.front().live >> *index) & 1U) != 0;
      });
}

void Membership::RemoveOmitted(TimePoint now) {
  // After this time an omitted host has detected the time-out, and its earlier
  // grants have expired.
  const Duration detection_time = this->times.suspect_after +
                                  this->times.grant_ttl +
                                  this->times.heartbeat_interval;
  for (auto& [id, member] : this->members) {
    if (member.record.state == HostState::kLeft || !member.omitted_since ||
        *member.omitted_since + this->removal_delay > now ||
        (member.last_received &&
         *member.last_received + detection_time > now) ||
        this->IsReportedLive(id, now)) {
      continue;
    }
    this->MarkLeft(member, LeaveSource::kHostList);
  }
}

void Membership::OnHostList(std::span<const ListedHost> hosts,
                            Duration interval,
                            TimePoint now) {
  this->fleet_contacted = true;
  // A host that the list omits must read this at least once before other hosts
  // remove it; 2.5 intervals allow for one failed read.
  this->removal_delay =
      std::max(this->times.min_removal_delay, interval * 5 / 2);
  std::set<std::string_view> names;
  for (const ListedHost& host : hosts) {
    names.insert(host.id);
  }
  for (auto& [id, member] : this->members) {
    if (names.contains(id)) {
      member.listed = true;
      member.omitted_since.reset();
    } else if (member.listed && !member.omitted_since) {
      member.omitted_since = now;
    }
  }
  this->self_omitted = !names.contains(this->self_record.id);
  if (this->self_omitted) {
    this->listed_since.reset();
  } else if (!this->listed_since) {
    this->listed_since = now;
  }
  this->UpdateContacts(hosts, now);
  this->RemoveOmitted(now);
  this->Refresh(now);
}

void Membership::UpdateContacts(std::span<const ListedHost> hosts,
                                TimePoint now) {
  constexpr std::size_t kMaxRemoteContacts = 3;
  std::erase_if(this->listed_contacts, [this, now](const auto& contact) {
    return contact.second + this->removal_delay <= now;
  });
  for (const ListedHost& host : hosts) {
    const auto known = this->members.find(host.id);
    if (host.id == this->self_record.id ||
        (known != this->members.end() &&
         known->second.record.state != HostState::kLeft &&
         known->second.record.address == host.address)) {
      continue;
    }
    if (host.domain == this->self_record.domain) {
      this->listed_contacts[host.address] = now;
    } else if (this->contacts.size() < kMaxRemoteContacts) {
      this->AddContact(host.address);
    }
  }
}

}  // namespace auburnyard
