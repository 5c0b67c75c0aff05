#include "test/core_simulation.h"

#include "auburnyard/budget.h"

namespace auburnyard::test {

namespace {

constexpr std::int64_t kDeadlineMs = 100;

std::string QueryName(const AttemptId& id) {
  return id.substr(0, id.find('.'));
}

std::string RangeName(KeyRange range) {
  return std::to_string(range.begin) + "-" + std::to_string(range.end);
}

/// Snapshots alternate between two partitions of the keys 0 to 20.
std::shared_ptr<const ShardMap> MapOf(std::uint64_t number) {
  auto map = Map("S" + std::to_string(number), {"abc", "abc"}, number + 1);
  if (number % 2 == 1) {
    map->shards[0].range.end = map->shards[1].range.begin = 5;
  }
  return map;
}

}  // namespace

CoreSimulation::CoreSimulation(OmittedRule rule, std::uint32_t limit)
    : omitted_rule(rule), cold_limit(limit), newest(MapOf(0)) {
  for (const char* name : {"a", "b", "c"}) {
    GateLimits limits;
    limits.slots = 4;
    limits.cold_limit = limit;
    this->targets[name].gate = std::make_unique<TargetGate>(name, limits);
  }
  this->targets["b"].refuses_other_snapshots = false;
  for (const bool idempotent : {true, false, true}) {
    this->StartQuery(idempotent);
  }
}

void CoreSimulation::Expect(bool holds, const std::string& text) {
  if (!holds) {
    this->violated.insert(text);
  }
}

void CoreSimulation::StartQuery(bool idempotent) {
  const std::string name = "q" + std::to_string(this->queries.size());
  QueryRequest request;
  request.deadline = std::chrono::milliseconds(kDeadlineMs);
  request.idempotent =
      idempotent || this->omitted_rule == OmittedRule::kSingleDispatch;
  request.min_coverage = this->queries.size() % 3 == 2 ? 1.0 : 0.0;
  QueryPolicy policy;
  policy.hedge_delay = std::chrono::milliseconds(10);
  policy.max_hedges = 2;
  QueryHooks hooks;
  hooks.order_replicas = [rotation = this->queries.size()](const Shard& shard,
                                                           const auto&) {
    std::vector<std::string> order = shard.targets;
    std::rotate(order.begin(), order.begin() + rotation % order.size(),
                order.end());
    return order;
  };
  auto budget = std::make_shared<TokenBudget>(0.5);
  hooks.take_retry_token = [budget] { return budget->Take(); };
  hooks.take_hedge_token = hooks.take_retry_token;
  hooks.on_first_attempt = [budget] { budget->OnFirstAttempt(); };
  hooks.newest_map = [this] { return this->newest; };
  Query& query = this->queries[name];
  query.idempotent = idempotent;
  query.machine = std::make_unique<QueryMachine>(
      name, request, this->newest, policy, std::move(hooks), At(this->now_ms));
  this->Perform(query.machine->Start(At(this->now_ms)));
}

CoreSimulation::Query& CoreSimulation::QueryOf(const AttemptId& id) {
  return this->queries.at(QueryName(id));
}

void CoreSimulation::Perform(const std::vector<QueryAction>& actions) {
  for (const QueryAction& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->started.emplace(start->id, *start);
      this->messages.push_back({MessageKind::kEnqueue, start->id});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->messages.push_back(
          {MessageKind::kCancel, cancel->id, cancel->reason});
    } else if (const auto* answer = std::get_if<FinishWithAnswer>(&action)) {
      this->CheckAnswer(answer->answer.decision, answer->answer);
    } else if (const auto* end = std::get_if<FinishWithRefusal>(&action)) {
      this->queries.at(end->refusal.decision).refused_as_not_run =
          end->refusal.run == RunState::kNotRun;
    }
  }
}

// Each result has one item "<snapshot>/<range>/<query>" that records what the
// target executed.
void CoreSimulation::CheckAnswer(const std::string& query,
                                 const Answer& answer) {
  std::uint64_t keys = 20;
  for (const KeyRange& missing : answer.missing) {
    keys -= missing.size();
  }
  Expect(answer.coverage == static_cast<double>(keys) / 20, "coverage");
  std::set<std::string> items;
  for (const boost::json::value& item : answer.results) {
    const std::string text(item.as_string());
    const std::size_t range = text.find('/') + 1;
    const std::size_t dash = text.find('-');
    keys -=
        std::stoull(text.substr(dash + 1)) - std::stoull(text.substr(range));
    Expect(text.substr(0, range - 1) == answer.snapshot, "mixed snapshots");
    Expect(text.substr(text.rfind('/') + 1) == query, "reply of another query");
    Expect(items.insert(text).second,
           "coverage differs from the merged ranges");
  }
  Expect(keys == 0, "coverage differs from the merged ranges");
}

void CoreSimulation::Perform(const std::string& name,
                             const std::vector<GateAction>& actions) {
  Target& target = this->targets.at(name);
  for (const GateAction& action : actions) {
    if (const auto* dispatch = std::get_if<DispatchAttempt>(&action)) {
      this->messages.push_back({MessageKind::kStarted, dispatch->id});
      this->HandleArrival(name, this->started.at(dispatch->id));
    } else if (const auto* reject = std::get_if<RejectAttempt>(&action)) {
      this->messages.push_back(
          {.kind = MessageKind::kFailure,
           .id = reject->id,
           .failure = {reject->reason, RunState::kNotRun}});
    } else if (const auto* abort = std::get_if<AbortAttempt>(&action)) {
      for (Exchange& exchange : target.running) {
        exchange.aborted = exchange.aborted || exchange.attempt.id == abort->id;
      }
      if (this->omitted_rule == OmittedRule::kSlotUntilEnd) {
        this->Perform(
            name, target.gate->OnExchangeEnded(abort->id, At(this->now_ms)));
      }
    }
  }
}

TargetReport CoreSimulation::ReportOf(const Target& target) const {
  return Report("p" + std::to_string(target.incarnation), target.draining);
}

void CoreSimulation::HandleArrival(const std::string& name,
                                   const StartAttempt& attempt) {
  Target& target = this->targets.at(name);
  const bool other_snapshot =
      attempt.snapshot != target.snapshot && target.refuses_other_snapshots;
  if (target.draining || other_snapshot) {
    this->messages.push_back(
        {.kind = MessageKind::kFailure,
         .id = attempt.id,
         .failure = {other_snapshot ? Reason::kRestartSnapshotChanged
                                    : Reason::kRetryTargetRefused,
                     RunState::kNotRun}});
    target.cold_unreported = false;
    this->Perform(name, target.gate->OnReply(
                            attempt.id, ReplyOutcome::kRefusedBeforeStart,
                            this->ReportOf(target), At(this->now_ms)));
    return;
  }
  Query& query = this->QueryOf(attempt.id);
  const int count =
      ++this->executions[QueryName(attempt.id) + RangeName(attempt.range)];
  Expect(query.idempotent || count == 1, "non-idempotent request ran twice");
  Expect(!query.refused_as_not_run, "ran after a refusal as not run");
  target.running.push_back({attempt, target.snapshot});
  Expect(target.cold_unreported || target.cold_successes >= this->cold_limit ||
             target.running.size() <= this->cold_limit,
         "cold limit exceeded");
}

void CoreSimulation::Complete(const std::string& name, std::size_t index) {
  Target& target = this->targets.at(name);
  if (target.running.empty()) {
    return;
  }
  const auto position = target.running.begin() + index % target.running.size();
  const Exchange exchange = *position;
  target.running.erase(position);
  target.cold_successes += exchange.after_cold_start ? 1 : 0;
  if (target.cold_unreported) {
    target.cold_unreported = false;
    for (Exchange& other : target.running) {
      other.after_cold_start = false;
    }
  }
  const StartAttempt& attempt = exchange.attempt;
  Message message{MessageKind::kResult, attempt.id};
  message.result = {exchange.snapshot,
                    attempt.range,
                    {exchange.snapshot + "/" + RangeName(attempt.range) + "/" +
                     QueryName(attempt.id)},
                    attempt.id};
  this->messages.push_back(std::move(message));
  this->Perform(name,
                target.gate->OnReply(attempt.id, ReplyOutcome::kOk,
                                     this->ReportOf(target), At(this->now_ms)));
}

void CoreSimulation::LoseConnection(const std::string& name,
                                    std::size_t index) {
  Target& target = this->targets.at(name);
  AttemptId id;
  if (!target.running.empty()) {
    const auto lost = target.running.begin() + index % target.running.size();
    id = lost->attempt.id;
    target.running.erase(lost);
    const RunState run = this->omitted_rule == OmittedRule::kUnknownAfterLoss
                             ? RunState::kNotRun
                             : RunState::kUnknown;
    this->messages.push_back(
        {.kind = MessageKind::kFailure,
         .id = id,
         .failure = {Reason::kRetryConnectionFailed, run}});
  }
  this->Perform(name,
                this->omitted_rule == OmittedRule::kColdAfterLoss
                    ? target.gate->OnExchangeEnded(id, At(this->now_ms))
                    : target.gate->OnConnectionLost(id, At(this->now_ms)));
}

// Breaks all connections. Nothing reaches the new process before every loss was
// reported to the gate.
void CoreSimulation::Restart(const std::string& name) {
  Target& target = this->targets.at(name);
  std::vector<Exchange> lost = std::move(target.running);
  target.running.clear();
  ++target.incarnation;
  target.cold_successes = 0;
  target.cold_unreported = false;
  target.draining = false;
  for (std::size_t i = lost.size() + 1; i-- > 0;) {
    if (i < lost.size()) {
      target.running.insert(target.running.begin(), lost[i]);
    }
    this->LoseConnection(name, 0);
  }
}

void CoreSimulation::BypassOmittedCheck(Message& message) {
  const StartAttempt& attempt = this->started.at(message.id);
  if (this->omitted_rule == OmittedRule::kSnapshotCheck) {
    message.result.snapshot = attempt.snapshot;
  } else if (this->omitted_rule == OmittedRule::kRangeCheck) {
    message.result.range = attempt.range;
    message.result.attempt = message.id;
  } else if (this->omitted_rule == OmittedRule::kAttemptCheck) {
    message.result.attempt = message.id;
  }
}

void CoreSimulation::Deliver(Message message) {
  const TimePoint now = At(this->now_ms);
  const StartAttempt& attempt = this->started.at(message.id);
  Query& query = this->QueryOf(message.id);
  TargetGate& gate = *this->targets.at(attempt.target).gate;
  switch (message.kind) {
    case MessageKind::kEnqueue:
      this->Perform(attempt.target,
                    gate.Enqueue({.id = message.id,
                                  .deadline = query.machine->deadline(),
                                  .idempotent = query.idempotent},
                                 now));
      return;
    case MessageKind::kCancel:
      this->Perform(attempt.target,
                    gate.Cancel(message.id, message.reason, now));
      return;
    case MessageKind::kStarted:
      this->Perform(query.machine->OnDispatched(message.id, now));
      return;
    case MessageKind::kResult:
      this->BypassOmittedCheck(message);
      this->Perform(query.machine->OnResult(message.id, message.result, now));
      return;
    case MessageKind::kFailure:
      this->Perform(query.machine->OnFailure(message.id, message.failure, now));
      return;
  }
}

void CoreSimulation::Advance(std::int64_t ms) {
  this->now_ms += ms;
  for (auto& [name, query] : this->queries) {
    this->Perform(query.machine->OnTimer(At(this->now_ms)));
    Expect(query.machine->finished() ||
               query.machine->NextTimer() > At(this->now_ms),
           "timer is due again at once");
  }
  for (auto& [name, target] : this->targets) {
    this->Perform(name, target.gate->OnTimer(At(this->now_ms)));
  }
}

void CoreSimulation::SwitchSnapshot(Target& target, bool publish) {
  if (publish) {
    this->newest = MapOf(this->newest->revision);
  }
  target.snapshot = this->newest->snapshot;
}

void CoreSimulation::Step(int kind, std::size_t choice) {
  const std::string name(1, static_cast<char>('a' + choice % 3));
  Target& target = this->targets.at(name);
  const std::size_t index =
      this->messages.empty() ? 0 : choice % this->messages.size();
  const auto take = [this, index] {
    Message message = this->messages[index];
    this->messages.erase(this->messages.begin() +
                         static_cast<std::ptrdiff_t>(index));
    return message;
  };
  switch (kind) {
    default:
      if (!this->messages.empty()) {
        this->Deliver(take());
      }
      return;
    case 1:
      if (!this->messages.empty()) {
        take();
      }
      return;
    case 2:
      // Enqueue messages are not duplicated: the peer bus numbers its messages,
      // so each one arrives at most once.
      if (!this->messages.empty() &&
          this->messages[index].kind != MessageKind::kEnqueue) {
        this->messages.push_back(this->messages[index]);
      }
      return;
    case 3:
    case 4:
    case 5:
      return this->Complete(name, choice / 3);
    case 6:
      return this->Advance(1 + static_cast<std::int64_t>(choice % 15));
    case 7:
      return this->Restart(name);
    case 8:  // the target becomes cold without a lost connection
      ++target.incarnation;
      target.cold_successes = 0;
      target.cold_unreported = true;
      for (Exchange& exchange : target.running) {
        exchange.after_cold_start = false;
      }
      return;
    case 9:
      target.draining = !target.draining;
      return;
    case 10:
      return this->SwitchSnapshot(target, choice % 2 == 0);
    case 11: {  // crosses the payloads of two replies
      for (Message& message : this->messages) {
        if (message.kind == MessageKind::kResult &&
            this->messages[index].kind == MessageKind::kResult) {
          std::swap(message.result, this->messages[index].result);
        }
      }
      return;
    }
    case 12:
      if (this->queries.size() < 6) {
        this->StartQuery(choice % 3 != 1);
      }
      return;
    case 13:
      return this->LoseConnection(name, choice / 3);
    case 14: {
      Query& query =
          this->queries.at("q" + std::to_string(choice % this->queries.size()));
      return this->Perform(query.machine->OnCallerGone(At(this->now_ms)));
    }
  }
}

void CoreSimulation::Finish() {
  while (!this->messages.empty()) {
    this->Step(0, 0);
  }
  this->Advance(kDeadlineMs);
  for (const auto& [name, query] : this->queries) {
    Expect(query.machine->finished(), "query outlived its deadline");
    for (const auto& [key, count] : this->executions) {
      Expect(!query.refused_as_not_run || count == 0 ||
                 key.substr(0, name.size()) != name,
             "work of a request refused as not run");
    }
  }
}

}  // namespace auburnyard::test
