#include "auburnyard/ownership.h"

#include <algorithm>
#include <array>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

// Safety of the split rule. Claim: for each target, the sum of the slots that
// all hosts may use at any instant never exceeds the target's limit.
//
// The limit is divided into tokens, one for each member of the target's
// ownership group; the token of member X under member list M has
// GroupView::ShareOf(target, X) slots, and the tokens of M add up to the limit.
// A token does not grow if a member is added to M. A host uses its own token
// and the token of every member that grants it, and nothing else (ShareOf
// below).
//
// 1. Each token has at most one user. X acknowledges a heartbeat with all
//    positions (member list and live subset) that bind it: the current one, and
//    each earlier one for `position_hold` after its replacement. X's token may
//    be used only by the host that owns the target in all these positions.
//    Let A use X's token by an acknowledgement that X made at r1, and let B use
//    it by one made at r2 > r1 (or X itself, at r2). If X's position of r1
//    still binds at r2, both A and B own the target in it, so A = B. If not, it
//    was replaced before r2 - position_hold, hence r1 < r2 - position_hold. A
//    uses an acknowledgement for `grant_ttl` from the moment A sent the
//    heartbeat, which is before r1, so A stopped before r2. This requires
//    clocks that run at the same rate within position_hold - grant_ttl over one
//    grant, but no agreement on the time. A pause of A or X counts as elapsed
//    time: A measures the age of its own heartbeat at each dispatch, and X is
//    bound from the moment it handles the heartbeat, however late the
//    acknowledgement is sent.
// 2. Tokens are not too large. Let U be the hosts whose tokens are in use. If
//    the member list that sizes each token contains U, the tokens add up to at
//    most the limit. A process uses and grants nothing until all members in its
//    list have acknowledged it since its start (Membership::UpdateAdmission),
//    each with a member list that it merged. So of two hosts that a common
//    member acknowledged, the later one receives the record of the earlier one,
//    and waits for its acknowledgement. If no granting member has acknowledged
//    it, it also waits until hosts that it has no record of have read its entry
//    in the host list. A host uses a granted token only if the granter's member
//    list equals its own. The leave of a member enlarges tokens only
//    `position_hold` after the list changed, because a token is the minimum
//    over all binding positions; by then grants of the member have expired
//    everywhere.
// 3. A member is removed only if its process has ended or has stopped using
//    tokens: its leave message, a later nonce under its id, or omission from
//    the host list for the removal delay (at least `min_removal_delay`) while
//    it is suspected and no member reports it live. A live host that the list
//    omits reads this itself within that delay, and a host that was stopped for
//    `pause_limit` (less than `min_removal_delay`) detects the gap; both then
//    use nothing until every member has acknowledged them again.
//
// The claim does not hold in these cases:
// - Two hosts of a group have no record of each other: neither host list names
//   the other, and no settled common member acknowledges both. Each then
//   behaves as the only member of its group.
// - A live host is partitioned from its whole group and from the host list, and
//   the list omits it for longer than the removal delay. The excess is its own
//   token. Stopping it instead would also stop the only remaining host of a
//   domain that is partitioned from the platform.
// - While an ownership group is being added or removed, hosts of the domain may
//   have different lists of groups.
// - The process is paused between the check and the send of a dispatch.
// - The claim covers permission to dispatch only. Work in flight is subtracted
//   as last reported; work that an unresponsive owner dispatched after its last
//   report runs until its deadline and is not counted.

namespace {

constexpr std::array<std::string_view, 8> kReasonNames = {
    "all_granted", "grant_missing", "view_changing", "handover",
    "not_owner",   "not_admitted",  "paused",        "outside_of_group"};

// Maximum age of the index. Bounds how long a host remains in it after it
// became suspected by the passing of time, which does not change the version.
constexpr std::chrono::milliseconds kMaxIndexAge{250};

}  // namespace

std::string_view ToString(ShareReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

Ownership::Ownership(const Membership& source) : membership(source) {}

void Ownership::AddHost(const HostRecord& record, bool live) {
  std::vector<HostRecord>& hosts = this->domains[record.domain][record.group];
  if (live) {
    hosts.push_back(record);
  }
}

void Ownership::UpdateIndex(TimePoint now) {
  if (this->index_version == this->membership.version() &&
      now - this->index_time < kMaxIndexAge) {
    return;
  }
  this->domains.clear();
  if (this->membership.self().state != HostState::kLeft) {
    this->AddHost(this->membership.self(), this->membership.admitted());
  }
  for (const auto& [id, member] : this->membership.peers()) {
    const HostState state = this->membership.StateOf(member, now);
    if (state != HostState::kLeft) {
      const bool reachable =
          !member.unreachable_until || *member.unreachable_until <= now;
      this->AddHost(member.record, state == HostState::kLive &&
                                       member.record.serving && reachable);
    }
  }
  this->index_version = this->membership.version();
  this->index_time = now;
}

const Ownership::Groups::value_type* Ownership::FindGroup(
    std::string_view target,
    std::string_view domain) {
  const auto found = this->domains.find(domain);
  if (found == this->domains.end()) {
    return nullptr;
  }
  const auto best =
      std::min_element(found->second.begin(), found->second.end(),
                       [target](const auto& left, const auto& right) {
                         return RanksBefore(target, left.first, right.first);
                       });
  return best == found->second.end() ? nullptr : &*best;
}

std::string Ownership::GroupOf(std::string_view target,
                               std::string_view domain,
                               TimePoint now) {
  this->UpdateIndex(now);
  const auto* group = this->FindGroup(target, domain);
  return group == nullptr ? std::string() : group->first;
}

std::optional<HostRecord> Ownership::OwnerOf(std::string_view target,
                                             std::string_view domain,
                                             TimePoint now) {
  this->UpdateIndex(now);
  const auto* group = this->FindGroup(target, domain);
  if (group == nullptr || group->second.empty()) {
    return std::nullopt;
  }
  return *std::min_element(
      group->second.begin(), group->second.end(),
      [target](const HostRecord& left, const HostRecord& right) {
        return RanksBefore(target, left.id, right.id);
      });
}

std::optional<ShareReason> Ownership::DenialReason(std::string_view target,
                                                   TimePoint now) const {
  if (this->membership.IsPaused(now)) {
    return ShareReason::kPaused;
  }
  if (!this->membership.admitted()) {
    return ShareReason::kNotAdmitted;
  }
  const std::string& self = this->membership.self().id;
  for (const Membership::Position& position : this->membership.positions()) {
    if (position.until && *position.until <= now) {
      continue;
    }
    if (position.view.OwnerOf(target, position.live) != self) {
      return position.until ? ShareReason::kViewChanging
                            : ShareReason::kNotOwner;
    }
  }
  return std::nullopt;
}

bool Ownership::HasGrantFrom(const Member& member,
                             std::string_view target,
                             TimePoint now) const {
  const GroupView& current = this->membership.positions().front().view;
  if (!member.granting || !member.last_acknowledged ||
      *member.last_acknowledged + this->membership.timing().grant_ttl <= now ||
      member.positions.empty() ||
      member.positions.front().view != current.hash()) {
    return false;
  }
  const std::string& self = this->membership.self().id;
  return std::all_of(
      member.positions.begin(), member.positions.end(),
      [this, target, &self](const ViewPosition& position) {
        const GroupView* view = this->membership.FindView(position.view);
        return view != nullptr && view->OwnerOf(target, position.live) == self;
      });
}

std::uint32_t Ownership::TokenOf(std::string_view target,
                                 std::string_view id,
                                 std::uint32_t limit) const {
  std::uint32_t slots = limit;
  for (const Membership::Position& position : this->membership.positions()) {
    slots = std::min(slots, position.view.ShareOf(target, id, limit));
  }
  return slots;
}

std::uint32_t Ownership::RemoteWork(const Member& member,
                                    std::string_view target,
                                    TimePoint now) const {
  const auto found = member.in_flight.find(target);
  const bool expired =
      member.in_flight_received_at + this->membership.timing().in_flight_hold <=
      now;
  return found == member.in_flight.end() || expired ? 0 : found->second;
}

SlotShare Ownership::ShareOf(std::string_view target,
                             std::uint32_t limit,
                             TimePoint now) {
  const HostRecord& self = this->membership.self();
  if (const std::optional<ShareReason> denial =
          this->DenialReason(target, now)) {
    return {0, ShareKind::kNone, *denial};
  }
  if (this->GroupOf(target, self.domain, now) != self.group) {
    return {0, ShareKind::kNone, ShareReason::kOutsideOfGroup};
  }
  std::uint32_t slots = this->TokenOf(target, self.id, limit);
  std::uint32_t remote_work = 0;
  for (const Member* member : this->membership.group()) {
    const std::uint32_t token = this->TokenOf(target, member->record.id, limit);
    const std::uint32_t work = this->RemoteWork(*member, target, now);
    const bool granted = this->HasGrantFrom(*member, target, now);
    slots += granted ? token : 0;
    // The work of a member that does not grant counts against its own token
    // first.
    remote_work += granted ? work : work - std::min(work, token);
  }
  const ShareReason reason = remote_work > 0  ? ShareReason::kHandover
                             : slots == limit ? ShareReason::kAllGranted
                                              : ShareReason::kGrantMissing;
  slots -= std::min(slots, remote_work);
  const ShareKind kind = slots == limit ? ShareKind::kFull
                         : slots == 0   ? ShareKind::kNone
                                        : ShareKind::kPartial;
  return {slots, kind, reason};
}

}  // namespace auburnyard
