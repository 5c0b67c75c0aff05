#include "auburnyard/decision_records.h"

#include <charconv>
#include <cmath>

namespace auburnyard {

namespace {

constexpr double kPartsPerMillion = 1e6;

DecisionEvent EventOfStart(Reason reason) {
  switch (reason) {
    case Reason::kFirstAttempt:
      return DecisionEvent::kAttemptStarted;
    case Reason::kHedgeDelayElapsed:
      return DecisionEvent::kHedge;
    case Reason::kRestartSnapshotChanged:
      return DecisionEvent::kRestart;
    default:
      return DecisionEvent::kRetry;
  }
}

void Fill(DecisionRecord& record, const StartAttempt& action) {
  record.event = EventOfStart(action.reason);
  record.reason = action.reason;
  record.target = action.target;
  record.shard = action.shard;
  record.attempt = AttemptNumberOf(action.id);
  record.snapshot = action.snapshot;
  record.numbers.Add(NumberName::kBegin, action.range.begin);
  record.numbers.Add(NumberName::kEnd, action.range.end);
}

void Fill(DecisionRecord& record, const CancelAttempt& action) {
  record.event = DecisionEvent::kCancelled;
  record.reason = action.reason;
  record.target = action.target;
  record.attempt = AttemptNumberOf(action.id);
}

void Fill(DecisionRecord& record, const FinishWithAnswer& action) {
  record.event = DecisionEvent::kFinished;
  record.reason = action.reason;
  record.snapshot = action.answer.snapshot;
  record.numbers.Add(NumberName::kCoveragePpm,
                     static_cast<std::uint64_t>(std::floor(
                         action.answer.coverage * kPartsPerMillion)));
}

void Fill(DecisionRecord& record, const FinishWithRefusal& action) {
  record.event = DecisionEvent::kRefused;
  record.reason = action.reason;
  record.numbers.Add(NumberName::kErrorKind,
                     static_cast<std::uint64_t>(action.refusal.kind));
  record.numbers.Add(NumberName::kRun,
                     static_cast<std::uint64_t>(action.refusal.run));
}

void Fill(DecisionRecord& record, const DispatchAttempt& action) {
  record.event = DecisionEvent::kDispatched;
  record.attempt = AttemptNumberOf(action.id);
  record.decision = DecisionOf(action.id);
}

void Fill(DecisionRecord& record, const RejectAttempt& action) {
  record.event = DecisionEvent::kGateRejected;
  record.reason = action.reason;
  record.attempt = AttemptNumberOf(action.id);
  record.decision = DecisionOf(action.id);
}

void Fill(DecisionRecord& record, const AbortAttempt& action) {
  record.event = DecisionEvent::kGateAborted;
  record.reason = action.reason;
  record.attempt = AttemptNumberOf(action.id);
  record.decision = DecisionOf(action.id);
}

void AddGateState(DecisionRecord& record, const TargetGate& gate) {
  record.numbers.Add(NumberName::kQueued, gate.queued());
  record.numbers.Add(NumberName::kInFlight, gate.in_flight());
  record.numbers.Add(NumberName::kWindow, gate.window());
}

DecisionRecord MakeReplyRecord(const AttemptId& id,
                               std::string_view target,
                               const TargetReport& report,
                               Duration time) {
  DecisionRecord record;
  record.time = time;
  record.decision = DecisionOf(id);
  record.target = target;
  record.attempt = AttemptNumberOf(id);
  record.start_id = report.start_id;
  if (report.draining) {
    record.numbers.Add(NumberName::kDraining, 1);
  }
  if (report.load) {
    record.numbers.Add(NumberName::kLoad, *report.load);
  }
  return record;
}

}  // namespace

std::uint32_t AttemptNumberOf(std::string_view attempt) {
  const std::size_t dot = attempt.rfind('.');
  if (dot == std::string_view::npos) {
    return kNoAttempt;
  }
  std::uint32_t number = kNoAttempt;
  std::from_chars(attempt.data() + dot + 1, attempt.data() + attempt.size(),
                  number);
  return number;
}

std::string_view DecisionOf(std::string_view attempt) {
  return attempt.substr(0, attempt.rfind('.'));
}

DecisionRecord MakeReceivedRecord(std::string_view decision,
                                  const QueryRequest& request,
                                  Duration time) {
  DecisionRecord record;
  record.time = time;
  record.decision = decision;
  record.event = DecisionEvent::kQueryReceived;
  record.numbers.Add(NumberName::kDeadlineMs,
                     static_cast<std::uint64_t>(request.deadline.count()));
  record.numbers.Add(NumberName::kPriority,
                     static_cast<std::uint64_t>(request.priority));
  record.numbers.Add(NumberName::kIdempotent, request.idempotent ? 1 : 0);
  return record;
}

DecisionRecord MakeRecord(std::string_view decision,
                          const QueryAction& action,
                          Duration time) {
  DecisionRecord record;
  record.time = time;
  record.decision = decision;
  std::visit([&record](const auto& item) { Fill(record, item); }, action);
  return record;
}

DecisionRecord MakeNoteRecord(std::string_view decision,
                              Reason reason,
                              Duration time) {
  DecisionRecord record;
  record.time = time;
  record.decision = decision;
  record.event = DecisionEvent::kNote;
  record.reason = reason;
  return record;
}

DecisionRecord MakeResultRecord(const AttemptId& id,
                                std::string_view target,
                                const PartialResult& result,
                                const TargetReport& report,
                                Duration time) {
  DecisionRecord record = MakeReplyRecord(id, target, report, time);
  record.event = DecisionEvent::kResult;
  record.snapshot = result.snapshot;
  record.numbers.Add(NumberName::kBegin, result.range.begin);
  record.numbers.Add(NumberName::kEnd, result.range.end);
  return record;
}

DecisionRecord MakeFailureRecord(const AttemptId& id,
                                 std::string_view target,
                                 const AttemptFailure& failure,
                                 const TargetReport& report,
                                 Duration time) {
  DecisionRecord record = MakeReplyRecord(id, target, report, time);
  record.event = DecisionEvent::kFailure;
  record.reason = failure.reason;
  record.numbers.Add(NumberName::kRun, static_cast<std::uint64_t>(failure.run));
  if (!failure.sent) {
    record.numbers.Add(NumberName::kSent, 0);
  }
  return record;
}

DecisionRecord MakeEnqueuedRecord(const TargetGate& gate,
                                  const AttemptId& id,
                                  Duration time) {
  DecisionRecord record;
  record.time = time;
  record.decision = DecisionOf(id);
  record.event = DecisionEvent::kGateEnqueued;
  record.target = gate.target();
  record.attempt = AttemptNumberOf(id);
  AddGateState(record, gate);
  return record;
}

DecisionRecord MakeRecord(const TargetGate& gate,
                          const GateAction& action,
                          Duration time) {
  DecisionRecord record;
  record.time = time;
  record.target = gate.target();
  std::visit([&record](const auto& item) { Fill(record, item); }, action);
  AddGateState(record, gate);
  return record;
}

}  // namespace auburnyard
