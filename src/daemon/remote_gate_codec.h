#ifndef AUBURNYARD_SRC_DAEMON_REMOTE_GATE_CODEC_H_
#define AUBURNYARD_SRC_DAEMON_REMOTE_GATE_CODEC_H_

#include <optional>

#include "auburnyard.pb.h"
#include "src/daemon/remote_gate_outcome.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

/// The deadline is transmitted as the time remaining at `now`.
void WriteRequest(const SubRequest& request,
                  TimePoint now,
                  proto::SubRequest& out);
/// Empty if a member is out of bounds.
std::optional<SubRequest> ReadRequest(const proto::SubRequest& request,
                                      TimePoint now);
void WriteOutcome(const RemoteGateOutcome& outcome, proto::SubOutcome& out);
/// An outcome with an unknown reason or run state counts as a bad reply that
/// may have run.
RemoteGateOutcome ReadOutcome(const proto::SubOutcome& outcome);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_REMOTE_GATE_CODEC_H_
