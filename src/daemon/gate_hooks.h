#ifndef AUBURNYARD_SRC_DAEMON_GATE_HOOKS_H_
#define AUBURNYARD_SRC_DAEMON_GATE_HOOKS_H_

#include <functional>

#include "auburnyard/target_gate.h"

namespace auburnyard {

/// Dependencies of the gates on the rest of the daemon. Called with no lock
/// held.
struct GateHooks {
  /// This host's current share of a target's limits.
  std::function<GateLimits(const TargetConfig&)> limits;
  /// Whether this host may send new work to the target, given the age of its
  /// configuration.
  std::function<bool(const TargetConfig&)> may_send;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_GATE_HOOKS_H_
