#include "auburnyard/ownership.h"

#include <algorithm>
#include <array>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

// Safety of the split rule. Claim: for each target, the sum of what all hosts
// may use at one instant never exceeds the target's limit.
//
// The limit is divided into tokens, one for each member of the target's
// ownership group; the token of member X under member list M has
// GroupView::ShareOf(target, X) slots, and the tokens of M add up to the limit.
// A token does not grow if M gains a member. A host uses the tokens of itself
// and of every member that grants its token, and nothing else (ShareOf below).
//
// 1. Each token has at most one user. X answers a heartbeat with all positions
//    (member list and live subset) that bind it: the current one, and each
//    earlier one for `promise_hold` after its replacement. X's token is usable
//    by the host that owns the target in all these positions, by nobody else.
//    Let A use X's token by an answer that X gave at r1, and let B use it by an
//    answer given at r2 > r1 (or X itself, at r2). If X's position of r1 still
//    binds at r2, both A and B own the target in it, so A = B. If not, it was
//    replaced before r2 - promise_hold, hence r1 < r2 - promise_hold. A counts
//    an answer for `grant_ttl` from the moment A sent the heartbeat, which is
//    before r1, so A stopped before r2. This needs clocks that run at the same
//    rate within promise_hold - grant_ttl over one grant, and no agreement on
//    the time. A pause of A or X counts as elapsed time: A measures the age of
//    its own heartbeat at each dispatch, and X's promise starts when X handles
//    the heartbeat, however late the answer is sent.
// 2. Tokens are not too large. Let U be the hosts whose tokens are in use. If
//    the member list that sizes each token contains U, the tokens add up to at
//    most the limit. A process uses and grants nothing until all members it
//    knows have answered it since its start (Membership::UpdateAdmission), each
//    with a member list that it merged. So of two hosts that a common member
//    answered, the later one learns of the earlier one, and waits for its
//    answer. If no member that serves has answered, it also waits until hosts
//    it does not know of have read its name in the host list. A host uses a
//    granted token only if the granter's member list equals its own. A
//    departure enlarges tokens only `promise_hold` after the list changed,
//    because a token is the smallest of all binding positions; by then grants
//    of the departed host have expired everywhere.
// 3. A member is removed only if its process has ended or has stopped using
//    tokens: its leave message, a later nonce under its id, or omission from
//    the host list for `gone_delay` while it is suspected and no member reports
//    it live. A live host that the list omits reads this itself within
//    `gone_delay`, and a host that was stopped for `pause_limit` (shorter than
//    `gone_delay`) notices the gap; both then use nothing until every member
//    has answered again.
//
// The claim does not hold in these cases:
// - Two hosts of a group never heard of each other: neither host list names the
//   other, and no settled common member answers both. Each then counts as alone
//   in its group.
// - A live host is cut off from its whole group and from the host list, and the
//   list omits it for longer than `gone_delay`. The excess is its own token.
//   Stopping it instead would also stop the only survivor of a domain that is
//   partitioned from the platform.
// - Hosts of a domain differ on which ownership groups exist while a group is
//   being added or removed.
// - The process is stopped between the check and the send of one dispatch.
// - The claim is about permission to dispatch. Work in flight is subtracted as
//   last reported; what a silent owner dispatched after its last report runs on
//   until its deadline and is not counted.

namespace {

constexpr std::array<std::string_view, 8> kReasonNames = {
    "all_granted", "grant_missing", "view_changing", "handover",
    "not_owner",   "not_admitted",  "paused",        "outside_of_group"};

// Bounds how long a host that ceased to be live by time alone stays in the
// index.
constexpr std::chrono::milliseconds kIndexLifetime{250};

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

void Ownership::Rebuild(TimePoint now) {
  if (this->built_version == this->membership.version() &&
      now - this->built_at < kIndexLifetime) {
    return;
  }
  this->domains.clear();
  if (this->membership.self().state != HostState::kLeft) {
    this->AddHost(this->membership.self(), this->membership.admitted());
  }
  for (const auto& [id, member] : this->membership.others()) {
    const HostState state = this->membership.StateOf(member, now);
    if (state != HostState::kLeft) {
      const bool reachable =
          !member.unreachable_until || *member.unreachable_until <= now;
      this->AddHost(member.record, state == HostState::kLive &&
                                       member.record.serving && reachable);
    }
  }
  this->built_version = this->membership.version();
  this->built_at = now;
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
  this->Rebuild(now);
  const auto* group = this->FindGroup(target, domain);
  return group == nullptr ? std::string() : group->first;
}

std::optional<HostRecord> Ownership::OwnerOf(std::string_view target,
                                             std::string_view domain,
                                             TimePoint now) {
  this->Rebuild(now);
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

std::optional<ShareReason> Ownership::Obstacle(std::string_view target,
                                               TimePoint now) const {
  if (this->membership.Paused(now)) {
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

bool Ownership::Grants(const Member& member,
                       std::string_view target,
                       TimePoint now) const {
  const GroupView& current = this->membership.positions().front().view;
  if (!member.granting || !member.granted ||
      *member.granted + this->membership.timing().grant_ttl <= now ||
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

std::uint32_t Ownership::ForeignWork(const Member& member,
                                     std::string_view target,
                                     TimePoint now) const {
  const auto found = member.in_flight.find(target);
  const bool expired =
      member.in_flight_at + this->membership.timing().in_flight_hold <= now;
  return found == member.in_flight.end() || expired ? 0 : found->second;
}

SlotShare Ownership::ShareOf(std::string_view target,
                             std::uint32_t limit,
                             TimePoint now) {
  const HostRecord& self = this->membership.self();
  if (const std::optional<ShareReason> obstacle = this->Obstacle(target, now)) {
    return {0, ShareKind::kNone, *obstacle};
  }
  if (this->GroupOf(target, self.domain, now) != self.group) {
    return {0, ShareKind::kNone, ShareReason::kOutsideOfGroup};
  }
  std::uint32_t slots = this->TokenOf(target, self.id, limit);
  std::uint32_t foreign = 0;
  for (const Member* member : this->membership.group()) {
    const std::uint32_t token = this->TokenOf(target, member->record.id, limit);
    const std::uint32_t work = this->ForeignWork(*member, target, now);
    const bool granted = this->Grants(*member, target, now);
    slots += granted ? token : 0;
    // A member that does not grant runs its work within its own token first.
    foreign += granted ? work : work - std::min(work, token);
  }
  const ShareReason reason = foreign > 0      ? ShareReason::kHandover
                             : slots == limit ? ShareReason::kAllGranted
                                              : ShareReason::kGrantMissing;
  slots -= std::min(slots, foreign);
  const ShareKind kind = slots == limit ? ShareKind::kWhole
                         : slots == 0   ? ShareKind::kNone
                                        : ShareKind::kShare;
  return {slots, kind, reason};
}

}  // namespace auburnyard
