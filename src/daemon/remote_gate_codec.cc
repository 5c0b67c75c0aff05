#include "src/daemon/remote_gate_codec.h"

#include <algorithm>

#include "auburnyard/query.h"

namespace auburnyard {

void WriteRequest(const SubRequest& request,
                  TimePoint now,
                  proto::SubRequest& out) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - now);
  out.set_attempt(request.id);
  out.set_request_id(request.request_id);
  out.set_target(request.target);
  out.set_service(request.service);
  out.set_shard(request.shard);
  out.set_begin(request.range.begin);
  out.set_end(request.range.end);
  out.set_snapshot(request.snapshot);
  out.set_query(request.query);
  out.set_deadline_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(left.count(), 0, kMaxDeadline.count())));
  out.set_priority(static_cast<std::uint32_t>(request.priority));
  out.set_idempotent(request.idempotent);
}

std::optional<SubRequest> ReadRequest(const proto::SubRequest& request,
                                      TimePoint now) {
  if (request.attempt().empty() || request.target().empty() ||
      request.priority() >= kPriorityClassCount ||
      request.deadline_ms() > kMaxDeadline.count()) {
    return std::nullopt;
  }
  SubRequest result;
  result.id = request.attempt();
  result.request_id = request.request_id();
  result.service = request.service();
  result.query = request.query();
  result.target = request.target();
  result.shard = request.shard();
  result.snapshot = request.snapshot();
  result.range = {request.begin(), request.end()};
  result.priority = static_cast<PriorityClass>(request.priority());
  result.deadline = now + std::chrono::milliseconds(request.deadline_ms());
  result.idempotent = request.idempotent();
  return result;
}

void WriteOutcome(const RemoteGateOutcome& outcome, proto::SubOutcome& out) {
  out.set_attempt(outcome.attempt);
  out.set_ok(outcome.ok);
  if (!outcome.ok) {
    out.set_reason(std::string(ToString(outcome.reason)));
    out.set_run(static_cast<std::uint32_t>(outcome.run));
    // A refusal also names a changed snapshot.
    out.set_snapshot(outcome.snapshot);
    return;
  }
  out.set_snapshot(outcome.snapshot);
  out.set_begin(outcome.range.begin);
  out.set_end(outcome.range.end);
  out.set_items(outcome.items);
}

RemoteGateOutcome ReadOutcome(const proto::SubOutcome& outcome) {
  RemoteGateOutcome result;
  result.attempt = outcome.attempt();
  result.ok = outcome.ok();
  result.snapshot = outcome.snapshot();
  if (outcome.ok()) {
    result.run = RunState::kRun;
    result.range = {outcome.begin(), outcome.end()};
    result.items = outcome.items();
    return result;
  }
  const std::optional<Reason> reason = ParseReason(outcome.reason());
  const bool valid =
      reason && outcome.run() <= static_cast<std::uint32_t>(RunState::kRun);
  result.reason = valid ? *reason : Reason::kRetryBadReply;
  result.run =
      valid ? static_cast<RunState>(outcome.run()) : RunState::kUnknown;
  return result;
}

}  // namespace auburnyard
