#include "test/core_world.h"

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

CoreWorld::CoreWorld(Broken broken_rule, std::uint32_t limit)
    : broken(broken_rule), cold_limit(limit), newest(MapOf(0)) {
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

void CoreWorld::Expect(bool holds, const std::string& text) {
  if (!holds) {
    this->violated.insert(text);
  }
}

void CoreWorld::StartQuery(bool idempotent) {
  const std::string name = "q" + std::to_string(this->queries.size());
  QueryRequest request;
  request.deadline = std::chrono::milliseconds(kDeadlineMs);
  request.idempotent = idempotent || this->broken == Broken::kSingleDispatch;
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
  hooks.take_retry = [budget] { return budget->Take(); };
  hooks.take_hedge = hooks.take_retry;
  hooks.note_first_attempt = [budget] { budget->OnFirstAttempt(); };
  hooks.newest_map = [this] { return this->newest; };
  Query& query = this->queries[name];
  query.idempotent = idempotent;
  query.machine = std::make_unique<QueryMachine>(
      name, request, this->newest, policy, std::move(hooks), At(this->now_ms));
  this->Perform(query.machine->Start(At(this->now_ms)));
}

CoreWorld::Query& CoreWorld::QueryOf(const AttemptId& id) {
  return this->queries.at(QueryName(id));
}

void CoreWorld::Perform(const std::vector<QueryAction>& actions) {
  for (const QueryAction& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->started.emplace(start->id, *start);
      this->mails.push_back({MailKind::kEnqueue, start->id});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->mails.push_back({MailKind::kCancel, cancel->id, cancel->reason});
    } else if (const auto* answer = std::get_if<FinishWithAnswer>(&action)) {
      this->CheckAnswer(answer->answer.decision, answer->answer);
    } else if (const auto* end = std::get_if<FinishWithRefusal>(&action)) {
      this->queries.at(end->refusal.decision).refused_as_not_run =
          end->refusal.run == RunState::kNotRun;
    }
  }
}

// Each result has one item "<snapshot>/<range>/<query>", as the target ran it.
void CoreWorld::CheckAnswer(const std::string& query, const Answer& answer) {
  std::uint64_t keys = 20;
  for (const KeyRange& missing : answer.missing) {
    keys -= missing.size();
  }
  Expect(answer.coverage == static_cast<double>(keys) / 20, "coverage");
  std::set<std::string> seen;
  for (const boost::json::value& item : answer.results) {
    const std::string text(item.as_string());
    const std::size_t range = text.find('/') + 1;
    const std::size_t dash = text.find('-');
    keys -=
        std::stoull(text.substr(dash + 1)) - std::stoull(text.substr(range));
    Expect(text.substr(0, range - 1) == answer.snapshot, "mixed snapshots");
    Expect(text.substr(text.rfind('/') + 1) == query, "foreign reply");
    Expect(seen.insert(text).second, "coverage differs from the merged ranges");
  }
  Expect(keys == 0, "coverage differs from the merged ranges");
}

void CoreWorld::Perform(const std::string& name,
                        const std::vector<GateAction>& actions) {
  Target& target = this->targets.at(name);
  for (const GateAction& action : actions) {
    if (const auto* dispatch = std::get_if<DispatchAttempt>(&action)) {
      this->mails.push_back({MailKind::kStarted, dispatch->id});
      this->Arrive(name, this->started.at(dispatch->id));
    } else if (const auto* reject = std::get_if<RejectAttempt>(&action)) {
      this->mails.push_back({.kind = MailKind::kFailure,
                             .id = reject->id,
                             .failure = {reject->reason, RunState::kNotRun}});
    } else if (const auto* abort = std::get_if<AbortAttempt>(&action)) {
      for (Exchange& exchange : target.running) {
        exchange.aborted = exchange.aborted || exchange.attempt.id == abort->id;
      }
      if (this->broken == Broken::kSlotUntilEnd) {
        this->Perform(
            name, target.gate->OnExchangeEnded(abort->id, At(this->now_ms)));
      }
    }
  }
}

TargetReport CoreWorld::ReportOf(const Target& target) const {
  return Report("p" + std::to_string(target.incarnation), target.draining);
}

void CoreWorld::Arrive(const std::string& name, const StartAttempt& attempt) {
  Target& target = this->targets.at(name);
  const bool other_snapshot =
      attempt.snapshot != target.snapshot && target.refuses_other_snapshots;
  if (target.draining || other_snapshot) {
    this->mails.push_back(
        {.kind = MailKind::kFailure,
         .id = attempt.id,
         .failure = {other_snapshot ? Reason::kRestartSnapshotChanged
                                    : Reason::kRetryTargetRefused,
                     RunState::kNotRun}});
    target.unannounced = false;
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
  Expect(target.unannounced || target.cold_successes >= this->cold_limit ||
             target.running.size() <= this->cold_limit,
         "cold limit exceeded");
}

void CoreWorld::Complete(const std::string& name, std::size_t index) {
  Target& target = this->targets.at(name);
  if (target.running.empty()) {
    return;
  }
  const auto position = target.running.begin() + index % target.running.size();
  const Exchange exchange = *position;
  target.running.erase(position);
  target.cold_successes += exchange.fresh ? 1 : 0;
  if (target.unannounced) {
    target.unannounced = false;
    for (Exchange& other : target.running) {
      other.fresh = false;
    }
  }
  const StartAttempt& attempt = exchange.attempt;
  Mail mail{MailKind::kResult, attempt.id};
  mail.result = {exchange.snapshot,
                 attempt.range,
                 {exchange.snapshot + "/" + RangeName(attempt.range) + "/" +
                  QueryName(attempt.id)},
                 attempt.id};
  this->mails.push_back(std::move(mail));
  this->Perform(name,
                target.gate->OnReply(attempt.id, ReplyOutcome::kOk,
                                     this->ReportOf(target), At(this->now_ms)));
}

void CoreWorld::Lose(const std::string& name, std::size_t index) {
  Target& target = this->targets.at(name);
  AttemptId id;
  if (!target.running.empty()) {
    const auto lost = target.running.begin() + index % target.running.size();
    id = lost->attempt.id;
    target.running.erase(lost);
    const RunState run = this->broken == Broken::kUnknownAfterLoss
                             ? RunState::kNotRun
                             : RunState::kUnknown;
    this->mails.push_back({.kind = MailKind::kFailure,
                           .id = id,
                           .failure = {Reason::kRetryConnectionFailed, run}});
  }
  this->Perform(name,
                this->broken == Broken::kColdAfterLoss
                    ? target.gate->OnExchangeEnded(id, At(this->now_ms))
                    : target.gate->OnConnectionLost(id, At(this->now_ms)));
}

// All connections break; nothing reaches the new process before that is known.
void CoreWorld::Restart(const std::string& name) {
  Target& target = this->targets.at(name);
  std::vector<Exchange> lost = std::move(target.running);
  target.running.clear();
  ++target.incarnation;
  target.cold_successes = 0;
  target.unannounced = false;
  target.draining = false;
  for (std::size_t i = lost.size() + 1; i-- > 0;) {
    if (i < lost.size()) {
      target.running.insert(target.running.begin(), lost[i]);
    }
    this->Lose(name, 0);
  }
}

void CoreWorld::Distort(Mail& mail) {
  const StartAttempt& attempt = this->started.at(mail.id);
  if (this->broken == Broken::kSnapshotCheck) {
    mail.result.snapshot = attempt.snapshot;
  } else if (this->broken == Broken::kRangeCheck) {
    mail.result.range = attempt.range;
    mail.result.attempt = mail.id;
  } else if (this->broken == Broken::kAttemptCheck) {
    mail.result.attempt = mail.id;
  }
}

void CoreWorld::Deliver(Mail mail) {
  const TimePoint now = At(this->now_ms);
  const StartAttempt& attempt = this->started.at(mail.id);
  Query& query = this->QueryOf(mail.id);
  TargetGate& gate = *this->targets.at(attempt.target).gate;
  switch (mail.kind) {
    case MailKind::kEnqueue:
      this->Perform(attempt.target,
                    gate.Enqueue({.id = mail.id,
                                  .deadline = query.machine->deadline(),
                                  .idempotent = query.idempotent},
                                 now));
      return;
    case MailKind::kCancel:
      this->Perform(attempt.target, gate.Cancel(mail.id, mail.reason, now));
      return;
    case MailKind::kStarted:
      this->Perform(query.machine->OnDispatched(mail.id, now));
      return;
    case MailKind::kResult:
      this->Distort(mail);
      this->Perform(query.machine->OnResult(mail.id, mail.result, now));
      return;
    case MailKind::kFailure:
      this->Perform(query.machine->OnFailure(mail.id, mail.failure, now));
      return;
  }
}

void CoreWorld::Advance(std::int64_t ms) {
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

void CoreWorld::SwitchSnapshot(Target& target, bool publish) {
  if (publish) {
    this->newest = MapOf(this->newest->revision);
  }
  target.snapshot = this->newest->snapshot;
}

void CoreWorld::Step(int kind, std::size_t choice) {
  const std::string name(1, static_cast<char>('a' + choice % 3));
  Target& target = this->targets.at(name);
  const std::size_t index =
      this->mails.empty() ? 0 : choice % this->mails.size();
  const auto take = [this, index] {
    Mail mail = this->mails[index];
    this->mails.erase(this->mails.begin() + static_cast<std::ptrdiff_t>(index));
    return mail;
  };
  switch (kind) {
    default:
      if (!this->mails.empty()) {
        this->Deliver(take());
      }
      return;
    case 1:
      if (!this->mails.empty()) {
        take();
      }
      return;
    case 2:
      // The peer bus numbers its messages, so an enqueue arrives at most once.
      if (!this->mails.empty() &&
          this->mails[index].kind != MailKind::kEnqueue) {
        this->mails.push_back(this->mails[index]);
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
    case 8:  // becomes cold without a broken connection
      ++target.incarnation;
      target.cold_successes = 0;
      target.unannounced = true;
      for (Exchange& exchange : target.running) {
        exchange.fresh = false;
      }
      return;
    case 9:
      target.draining = !target.draining;
      return;
    case 10:
      return this->SwitchSnapshot(target, choice % 2 == 0);
    case 11: {  // crosses the payloads of two replies
      for (Mail& mail : this->mails) {
        if (mail.kind == MailKind::kResult &&
            this->mails[index].kind == MailKind::kResult) {
          std::swap(mail.result, this->mails[index].result);
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
      return this->Lose(name, choice / 3);
    case 14: {
      Query& query =
          this->queries.at("q" + std::to_string(choice % this->queries.size()));
      return this->Perform(query.machine->OnCallerGone(At(this->now_ms)));
    }
  }
}

void CoreWorld::End() {
  while (!this->mails.empty()) {
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
