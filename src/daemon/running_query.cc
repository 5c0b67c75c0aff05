#include "src/daemon/running_query.h"

#include <utility>

#include "auburnyard/decision_records.h"

namespace auburnyard {

RunningQuery::RunningQuery(boost::asio::io_context& io_context,
                           const Clock& runtime_clock,
                           DecisionRecorder& decision_recorder,
                           RunningQueryHooks query_hooks,
                           const QueryRequest& query,
                           QueryMachine query_machine)
    : clock(runtime_clock),
      recorder(decision_recorder),
      hooks(std::move(query_hooks)),
      request(query),
      machine(std::move(query_machine)),
      timer(io_context) {}

void RunningQuery::Start(Callback done) {
  this->callback = std::move(done);
  this->recorder.Record(MakeReceivedRecord(
      this->machine.decision(), this->request, this->recorder.Time()));
  this->Run(
      [](QueryMachine& state, TimePoint now) { return state.Start(now); });
}

void RunningQuery::StopBy(TimePoint stop) {
  this->Run([stop](QueryMachine& state, TimePoint /*now*/) {
    state.LimitDeadline(stop);
    return std::vector<QueryAction>();
  });
}

void RunningQuery::Abandon() {
  this->Run([](QueryMachine& state, TimePoint now) {
    return state.OnCallerGone(now);
  });
}

void RunningQuery::Run(const Step& step) {
  std::vector<QueryAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = step(this->machine, this->clock.Now());
    this->ArmTimer();
  }
  this->Perform(std::move(actions));
}

void RunningQuery::ArmTimer() {
  const std::optional<TimePoint> next = this->machine.NextTimer();
  if (next == this->armed_for) {
    return;
  }
  this->armed_for = next;
  if (!next) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(*next - this->clock.Now());
  // The timer keeps the query alive: it may hold the last reference while the
  // query waits for a retry.
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error) {
          return;
        }
        {
          const std::lock_guard lock(self->mutex);
          self->armed_for.reset();
        }
        self->Run([](QueryMachine& state, TimePoint now) {
          return state.OnTimer(now);
        });
      });
}

void RunningQuery::Perform(std::vector<QueryAction> actions) {
  std::vector<SubRequest> batch;
  for (QueryAction& action : actions) {
    this->recorder.Record(
        MakeRecord(this->machine.decision(), action, this->recorder.Time()));
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      batch.push_back(this->MakeSubRequest(*start));
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->hooks.cancel(cancel->target, cancel->id, cancel->reason);
    } else if (auto* answer = std::get_if<FinishWithAnswer>(&action)) {
      this->Finish(std::move(answer->answer));
    } else if (auto* refusal = std::get_if<FinishWithRefusal>(&action)) {
      this->Finish(std::move(refusal->refusal));
    }
  }
  if (!batch.empty()) {
    this->hooks.enqueue(batch, this->MakeObserver());
  }
}

void RunningQuery::Finish(QueryOutcome outcome) {
  Callback done;
  {
    const std::lock_guard lock(this->mutex);
    done.swap(this->callback);
  }
  if (done) {
    done(std::move(outcome));
  }
}

SubRequest RunningQuery::MakeSubRequest(const StartAttempt& attempt) {
  {
    const std::lock_guard lock(this->mutex);
    this->attempts[attempt.id] = {attempt.target, this->clock.Now(), {}};
  }
  this->hooks.on_start(attempt.target);
  SubRequest sub_request;
  sub_request.id = attempt.id;
  sub_request.request_id = this->request.request_id.empty()
                               ? this->machine.decision()
                               : this->request.request_id;
  sub_request.service = this->request.service;
  sub_request.query = this->request.query;
  sub_request.target = attempt.target;
  sub_request.shard = attempt.shard;
  sub_request.snapshot = attempt.snapshot;
  sub_request.range = attempt.range;
  sub_request.priority = this->request.priority;
  sub_request.deadline = this->machine.deadline();
  sub_request.idempotent = this->request.idempotent;
  return sub_request;
}

SubRequestObserver RunningQuery::MakeObserver() {
  const std::shared_ptr<RunningQuery> self = this->shared_from_this();
  return {
      .authorize_dispatch =
          [self](const AttemptId& id) { return self->AuthorizeDispatch(id); },
      .started = [self](const AttemptId& id) { self->OnStarted(id); },
      .result =
          [self](const AttemptId& id, PartialResult result) {
            self->OnResult(id, std::move(result));
          },
      .failure =
          [self](const AttemptId& id, const AttemptFailure& failure) {
            self->OnFailure(id, failure);
          }};
}

// The check and the change of state are atomic, so that the query cannot report
// "not run" in between.
bool RunningQuery::AuthorizeDispatch(const AttemptId& id) {
  bool allowed = false;
  this->Run([this, &id, &allowed](QueryMachine& state, TimePoint now) {
    allowed = state.MayDispatch(id) &&
              (!this->hooks.may_dispatch || this->hooks.may_dispatch());
    return allowed ? this->MarkDispatched(id, now) : std::vector<QueryAction>();
  });
  return allowed;
}

void RunningQuery::OnStarted(const AttemptId& id) {
  this->Run([this, &id](QueryMachine& /*state*/, TimePoint now) {
    return this->MarkDispatched(id, now);
  });
}

std::vector<QueryAction> RunningQuery::MarkDispatched(const AttemptId& id,
                                                      TimePoint now) {
  const auto found = this->attempts.find(id);
  if (found != this->attempts.end()) {
    found->second.dispatched = now;
  }
  return this->machine.OnDispatched(id, now);
}

void RunningQuery::OnResult(const AttemptId& id, PartialResult result) {
  if (const std::optional<Attempt> attempt = this->TakeAttempt(id)) {
    const TimePoint now = this->clock.Now();
    this->recorder.Record(MakeResultRecord(id, attempt->target, result, {},
                                           this->recorder.Time()));
    this->hooks.on_result(
        attempt->target, now - attempt->enqueued,
        now - attempt->dispatched.value_or(attempt->enqueued));
  }
  this->Run([&id, &result](QueryMachine& state, TimePoint now) {
    return state.OnResult(id, std::move(result), now);
  });
}

void RunningQuery::OnFailure(const AttemptId& id,
                             const AttemptFailure& failure) {
  if (const std::optional<Attempt> attempt = this->TakeAttempt(id)) {
    this->recorder.Record(MakeFailureRecord(id, attempt->target, failure, {},
                                            this->recorder.Time()));
    this->hooks.on_failure(attempt->target, failure);
  }
  this->Run([&id, &failure](QueryMachine& state, TimePoint now) {
    return state.OnFailure(id, failure, now);
  });
}

std::optional<RunningQuery::Attempt> RunningQuery::TakeAttempt(
    const AttemptId& id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(found->second);
  this->attempts.erase(found);
  return attempt;
}

}  // namespace auburnyard
