#ifndef AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OUTCOME_H_
#define AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OUTCOME_H_

#include <cstdint>
#include <string>

#include "auburnyard/clock.h"
#include "auburnyard/configuration.h"
#include "auburnyard/error.h"
#include "auburnyard/key_range.h"
#include "auburnyard/reason.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// Outcome of a sub-request. Reason and run state apply if it is not `ok`, the
/// result if it is.
struct RemoteGateOutcome {
  AttemptId attempt;
  bool ok = false;
  Reason reason = Reason::kCompleted;
  RunState run = RunState::kUnknown;
  std::string snapshot;
  KeyRange range;
  std::string items;  ///< JSON array
};

/// Process that sent a sub-request.
struct FrontIdentity {
  std::string id;
  std::string address;
  std::uint64_t nonce = 0;
  auto operator<=>(const FrontIdentity&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_REMOTE_GATE_OUTCOME_H_
