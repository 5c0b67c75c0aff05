#include "src/daemon/limit_policy.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

namespace {

constexpr std::uint32_t kUnlimited = 1'000'000;
// The end of a drain is detected by probes that carry no work, so the gate
// never has to send a request to a draining target to detect it.
constexpr std::chrono::hours kDrainHold{24};

std::uint32_t ShareByRank(std::uint32_t limit,
                          std::size_t rank,
                          std::size_t hosts) {
  const auto count = static_cast<std::uint32_t>(hosts);
  return limit / count + (rank < limit % count ? 1 : 0);
}

// A share that is suspended while the group agrees on a view still belongs to
// this host.
bool BelongsToOtherHosts(const SlotShare& share) {
  return share.kind == ShareKind::kNone &&
         (share.reason == ShareReason::kNotOwner ||
          share.reason == ShareReason::kNotAdmitted ||
          share.reason == ShareReason::kPaused);
}

}  // namespace

LimitPolicy::LimitPolicy(SharingPolicy sharing_policy,
                         std::string domain,
                         OwnedShare owned_share)
    : policy(sharing_policy),
      own_domain(std::move(domain)),
      owned(std::move(owned_share)) {}

void LimitPolicy::SetPosition(std::size_t own_rank, std::size_t hosts) {
  const std::lock_guard lock(this->mutex);
  this->rank = own_rank;
  this->live_hosts = std::max<std::size_t>(1, hosts);
}

GateLimits LimitPolicy::LimitsOf(const TargetConfig& target) const {
  switch (this->policy) {
    case SharingPolicy::kRandom:
      return {.slots = kUnlimited,
              .cold_limit = kUnlimited,
              .queue_length = kUnlimited};
    case SharingPolicy::kTwoChoice:
      return this->StaticShare(target);
    case SharingPolicy::kOwner:
      break;
  }
  return this->OwnerShare(target);
}

// A share of slots below one is raised to one, because a host without a slot
// could never use the target. The sum can therefore exceed the target's slots;
// the cold-start limit is not raised.
GateLimits LimitPolicy::StaticShare(const TargetConfig& target) const {
  const std::lock_guard lock(this->mutex);
  return {.slots = std::max(
              1U, ShareByRank(target.slots, this->rank, this->live_hosts)),
          .cold_limit =
              ShareByRank(target.cold_limit, this->rank, this->live_hosts),
          .warm_after = target.warm_after,
          .drain_hold = kDrainHold};
}

GateLimits LimitPolicy::OwnerShare(const TargetConfig& target) const {
  if (target.domain != this->own_domain) {
    return {.slots = 0, .cold_limit = 0};
  }
  const SlotShare share = this->owned(target.id, target.slots);
  return {.slots = share.slots,
          .cold_limit = this->owned(target.id, target.cold_limit).slots,
          .used_by_other_host = BelongsToOtherHosts(share),
          .warm_after = target.warm_after,
          .drain_hold = kDrainHold};
}

}  // namespace auburnyard
