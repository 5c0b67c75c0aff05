#include "src/core/trace_player.h"

#include <algorithm>
#include <utility>

#include "auburnyard/decision_records.h"
#include "auburnyard/error.h"

namespace auburnyard::detail {

namespace {

// Offset of the trace's origin from the clock's epoch, so that times before the
// origin stay representable.
constexpr std::chrono::hours kTraceOrigin{1};

TargetReport ReportOf(const DecisionRecord& input) {
  TargetReport report;
  report.start_id = input.start_id;
  report.draining = input.numbers.Find(NumberName::kDraining).value_or(0) != 0;
  if (const auto load = input.numbers.Find(NumberName::kLoad)) {
    report.load = static_cast<std::uint32_t>(*load);
  }
  return report;
}

RunState RunOf(const DecisionRecord& input) {
  const std::uint64_t run =
      input.numbers.Find(NumberName::kRun)
          .value_or(static_cast<std::uint64_t>(RunState::kUnknown));
  if (run > static_cast<std::uint64_t>(RunState::kRun)) {
    throw Error(ErrorKind::kBadRequest, "numbers.run: expected 0, 1 or 2");
  }
  return static_cast<RunState>(run);
}

bool WasSent(const DecisionRecord& input) {
  return input.numbers.Find(NumberName::kSent).value_or(1) != 0;
}

Reason ReasonOf(const DecisionRecord& input) {
  if (!input.reason) {
    throw Error(ErrorKind::kBadRequest, "reason: required for this event");
  }
  return *input.reason;
}

}  // namespace

TracePlayer::TracePlayer(const TraceHeader& trace_header)
    : header(trace_header),
      random(trace_header.seed),
      retry_tokens(trace_header.retry_budget),
      hedge_tokens(trace_header.hedge_budget),
      newest(trace_header.maps.front()) {
  for (const auto& [target, limits] : trace_header.gates) {
    this->gates.try_emplace(target, target, limits);
  }
}

std::vector<DecisionRecord> TracePlayer::Feed(const DecisionRecord& input) {
  this->records.clear();
  this->time = input.time;
  this->now = TimePoint(kTraceOrigin) + input.time;
  this->HandleInput(input);
  this->ApplyPending();
  return std::move(this->records);
}

void TracePlayer::HandleInput(const DecisionRecord& input) {
  switch (input.event) {
    case DecisionEvent::kQueryReceived:
      return this->StartQuery(input);
    case DecisionEvent::kDispatched:
      return this->HandleActions(
          this->Machine().OnDispatched(this->IdOf(input), this->now));
    case DecisionEvent::kGateRejected:
      return this->HandleActions(this->Machine().OnFailure(
          this->IdOf(input), {ReasonOf(input), RunState::kNotRun}, this->now));
    case DecisionEvent::kResult:
    case DecisionEvent::kFailure:
      return this->HandleReply(input);
    case DecisionEvent::kTimer:
      return this->FireTimers();
    case DecisionEvent::kCallerGone:
      return this->HandleActions(this->Machine().OnCallerGone(this->now));
    case DecisionEvent::kMapPublished:
      return this->PublishMap(input);
    case DecisionEvent::kLimitsSet:
      return this->SetLimits(input);
    case DecisionEvent::kAdmissionSet:
      return this->SetAdmission(input);
    default:
      return;  // without gates, their other records are informational
  }
}

void TracePlayer::StartQuery(const DecisionRecord& /*input*/) {
  if (this->machine) {
    throw Error(ErrorKind::kBadRequest,
                "event: a trace may contain only one query_received");
  }
  this->machine.emplace(this->header.decision, this->header.request,
                        this->newest, this->header.policy, this->MakeHooks(),
                        this->now);
  this->HandleActions(this->machine->Start(this->now));
}

void TracePlayer::HandleReply(const DecisionRecord& input) {
  const AttemptId id = this->IdOf(input);
  // As in the daemon, the gate frees the slot first, because a retry may use
  // the same slot.
  this->ReportToGate(input, id);
  if (input.event == DecisionEvent::kFailure) {
    return this->HandleActions(this->Machine().OnFailure(
        id, {ReasonOf(input), RunOf(input), WasSent(input)}, this->now));
  }
  PartialResult result;
  result.snapshot = input.snapshot;
  result.range = {input.numbers.Find(NumberName::kBegin).value_or(0),
                  input.numbers.Find(NumberName::kEnd).value_or(0)};
  result.items.emplace_back(input.attempt);
  this->HandleActions(
      this->Machine().OnResult(id, std::move(result), this->now));
}

void TracePlayer::ReportToGate(const DecisionRecord& input,
                               const AttemptId& id) {
  if (this->gates.empty()) {
    return;
  }
  TargetGate& gate = this->GateOf(input.target);
  if (!WasSent(input)) {
    return this->HandleActions(gate, gate.OnExchangeEnded(id, this->now));
  }
  if (input.reason == Reason::kRetryConnectionFailed) {
    return this->HandleActions(gate, gate.OnConnectionLost(id, this->now));
  }
  ReplyOutcome outcome = ReplyOutcome::kOk;
  if (input.event == DecisionEvent::kFailure) {
    outcome = RunOf(input) == RunState::kNotRun
                  ? ReplyOutcome::kRefusedBeforeStart
                  : ReplyOutcome::kFailed;
  }
  this->HandleActions(gate,
                      gate.OnReply(id, outcome, ReportOf(input), this->now));
}

void TracePlayer::SetLimits(const DecisionRecord& input) {
  TargetGate& gate = this->GateOf(input.target);
  GateLimits limits = this->header.gates.find(input.target)->second;
  const auto number = [&input](NumberName name, std::uint64_t fallback) {
    return input.numbers.Find(name).value_or(fallback);
  };
  limits.slots =
      static_cast<std::uint32_t>(number(NumberName::kSlots, limits.slots));
  limits.cold_limit = static_cast<std::uint32_t>(
      number(NumberName::kColdLimit, limits.cold_limit));
  limits.queue_length = number(NumberName::kQueueLength, limits.queue_length);
  this->HandleActions(gate, gate.SetLimits(limits, this->now));
}

void TracePlayer::SetAdmission(const DecisionRecord& input) {
  TargetGate& gate = this->GateOf(input.target);
  const GateAdmission admission{
      .domain_in = input.numbers.Find(NumberName::kDomainIn).value_or(1) != 0,
      .leaving = input.numbers.Find(NumberName::kLeaving).value_or(0) != 0};
  this->HandleActions(gate, gate.SetAdmission(admission, this->now));
}

void TracePlayer::PublishMap(const DecisionRecord& input) {
  const auto& maps = this->header.maps;
  const auto found = std::find_if(
      maps.begin(), maps.end(),
      [&input](const auto& map) { return map->snapshot == input.snapshot; });
  if (found == maps.end()) {
    throw Error(
        ErrorKind::kBadRequest,
        "snapshot: the header has no map for \"" + input.snapshot + "\"");
  }
  this->newest = *found;
}

void TracePlayer::FireTimers() {
  for (auto& [target, gate] : this->gates) {
    this->HandleActions(gate, gate.OnTimer(this->now));
  }
  this->HandleActions(this->Machine().OnTimer(this->now));
}

void TracePlayer::HandleActions(std::vector<QueryAction> actions) {
  for (QueryAction& action : actions) {
    this->records.push_back(
        MakeRecord(this->header.decision, action, this->time));
    this->pending.push_back(std::move(action));
  }
}

void TracePlayer::ApplyPending() {
  while (!this->pending.empty()) {
    const QueryAction action = std::move(this->pending.front());
    this->pending.pop_front();
    std::visit([this](const auto& item) { this->Apply(item); }, action);
  }
}

void TracePlayer::Apply(const StartAttempt& action) {
  this->attempts.emplace(AttemptNumberOf(action.id), action.id);
  if (this->gates.empty()) {
    return;
  }
  TargetGate& gate = this->GateOf(action.target);
  this->records.push_back(MakeEnqueuedRecord(gate, action.id, this->time));
  const GateRequest request{.id = action.id,
                            .priority = this->header.request.priority,
                            .deadline = this->Machine().deadline(),
                            .idempotent = this->header.request.idempotent};
  this->HandleActions(gate, gate.Enqueue(request, this->now));
}

void TracePlayer::Apply(const CancelAttempt& action) {
  if (!this->gates.empty()) {
    TargetGate& gate = this->GateOf(action.target);
    this->HandleActions(gate, gate.Cancel(action.id, action.reason, this->now));
  }
}

void TracePlayer::HandleActions(TargetGate& gate,
                                const std::vector<GateAction>& actions) {
  for (const GateAction& action : actions) {
    if (std::holds_alternative<DispatchAttempt>(action)) {
      this->Dispatch(gate, action);
      continue;
    }
    this->records.push_back(MakeRecord(gate, action, this->time));
    if (const auto* reject = std::get_if<RejectAttempt>(&action)) {
      this->HandleActions(this->Machine().OnFailure(
          reject->id, {reject->reason, RunState::kNotRun}, this->now));
    }
  }
}

void TracePlayer::Dispatch(TargetGate& gate, const GateAction& action) {
  const AttemptId& id = std::get<DispatchAttempt>(action).id;
  if (!this->Machine().MayDispatch(id)) {
    // Withdrawn before a byte was sent.
    this->HandleActions(gate, gate.OnExchangeEnded(id, this->now));
    return;
  }
  this->records.push_back(MakeRecord(gate, action, this->time));
  this->HandleActions(this->Machine().OnDispatched(id, this->now));
}

TargetGate& TracePlayer::GateOf(const std::string& target) {
  const auto found = this->gates.find(target);
  if (found == this->gates.end()) {
    throw Error(ErrorKind::kBadRequest,
                "target: the header has no gate for \"" + target + "\"");
  }
  return found->second;
}

QueryMachine& TracePlayer::Machine() {
  if (!this->machine) {
    throw Error(ErrorKind::kBadRequest,
                "event: the query has not been received yet");
  }
  return *this->machine;
}

AttemptId TracePlayer::IdOf(const DecisionRecord& input) const {
  const auto found = this->attempts.find(input.attempt);
  if (found == this->attempts.end()) {
    throw Error(ErrorKind::kBadRequest,
                "attempt: the query machine has not started this attempt");
  }
  return found->second;
}

QueryHooks TracePlayer::MakeHooks() {
  return {
      .order_replicas =
          [this](const Shard& shard, const std::vector<std::string>& tried) {
            return this->OrderReplicas(shard, tried);
          },
      .take_retry_token = [this] { return TakeToken(this->retry_tokens); },
      .take_hedge_token = [this] { return TakeToken(this->hedge_tokens); },
      .newest_map = [this] { return this->newest; },
      .on_first_attempt = {},
      .note =
          [this](Reason reason) {
            this->records.push_back(
                MakeNoteRecord(this->header.decision, reason, this->time));
          }};
}

std::vector<std::string> TracePlayer::OrderReplicas(
    const Shard& shard,
    const std::vector<std::string>& tried) {
  std::vector<std::string> order;
  for (const std::string& target : shard.targets) {
    if (std::find(tried.begin(), tried.end(), target) == tried.end()) {
      order.push_back(target);
    }
  }
  if (this->header.order == TraceOrder::kRandom) {
    // std::shuffle differs between standard libraries, but the replay of a
    // trace must be the same everywhere.
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[this->random() % i]);
    }
  }
  return order;
}

bool TracePlayer::TakeToken(std::uint32_t& tokens) {
  if (tokens == 0) {
    return false;
  }
  --tokens;
  return true;
}

}  // namespace auburnyard::detail
