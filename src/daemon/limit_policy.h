#ifndef AUBURNYARD_SRC_DAEMON_LIMIT_POLICY_H_
#define AUBURNYARD_SRC_DAEMON_LIMIT_POLICY_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "auburnyard/slot_share.h"
#include "auburnyard/target_gate.h"
#include "src/daemon/settings.h"

namespace auburnyard {

/// This host's share of each target's limits, by sharing policy. Thread safe.
class LimitPolicy {
 public:
  /// Share of a limit of a target of the own domain, from ownership.
  using OwnedShare =
      std::function<SlotShare(const std::string& target, std::uint32_t limit)>;

  LimitPolicy(SharingPolicy policy, std::string own_domain, OwnedShare owned);

  /// Position of this host among the live hosts of the fleet, for static
  /// shares.
  void SetPosition(std::size_t rank, std::size_t live_hosts);
  GateLimits LimitsOf(const TargetConfig& target) const;

 private:
  GateLimits StaticShare(const TargetConfig& target) const;
  GateLimits OwnerShare(const TargetConfig& target) const;

  SharingPolicy policy;
  std::string own_domain;
  OwnedShare owned;
  mutable std::mutex mutex;
  std::size_t rank = 0;
  std::size_t live_hosts = 1;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_LIMIT_POLICY_H_
