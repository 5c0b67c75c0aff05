#include "src/daemon/running_query.h"

#include <utility>

namespace auburnyard {

RunningQuery::RunningQuery(boost::asio::io_context& io_context,
                           const Clock& runtime_clock,
                           QueryRoutes query_routes,
                           const QueryRequest& query,
                           QueryMachine query_machine,
                           Callback done)
    : context(io_context),
      clock(runtime_clock),
      routes(std::move(query_routes)),
      request(query),
      machine(std::move(query_machine)),
      timer(io_context),
      callback(std::move(done)) {}

void RunningQuery::Start() {
  this->Run(
      [](QueryMachine& state, TimePoint now) { return state.Start(now); });
}

void RunningQuery::Abandon() {
  {
    const std::lock_guard lock(this->mutex);
    this->callback = nullptr;
  }
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
  this->timer.expires_at(*next);
  this->timer.async_wait(
      [weak = this->weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<RunningQuery> self = weak.lock();
        if (error || !self) {
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
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      batch.push_back(this->MakeSubRequest(*start));
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->routes.cancel(cancel->target, cancel->id, cancel->reason);
    } else {
      Callback done;
      {
        const std::lock_guard lock(this->mutex);
        done.swap(this->callback);
      }
      if (auto* answer = std::get_if<FinishWithAnswer>(&action);
          answer != nullptr && done) {
        done(std::move(answer->answer));
      } else if (auto* refusal = std::get_if<FinishWithRefusal>(&action);
                 refusal != nullptr && done) {
        done(std::move(refusal->refusal));
      }
    }
  }
  if (!batch.empty()) {
    this->routes.enqueue(std::move(batch), this->MakeObserver());
  }
}

SubRequest RunningQuery::MakeSubRequest(const StartAttempt& attempt) const {
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
      .result =
          [self](const AttemptId& id, PartialResult result) {
            self->Run([&id, &result](QueryMachine& state, TimePoint now) {
              return state.OnResult(id, std::move(result), now);
            });
          },
      .failure =
          [self](const AttemptId& id, AttemptFailure failure) {
            self->Run([&id, failure](QueryMachine& state, TimePoint now) {
              return state.OnFailure(id, failure, now);
            });
          }};
}

bool RunningQuery::AuthorizeDispatch(const AttemptId& id) {
  std::vector<QueryAction> actions;
  bool allowed = false;
  {
    const std::lock_guard lock(this->mutex);
    allowed = this->machine.MayDispatch(id);
    if (allowed) {
      actions = this->machine.OnDispatched(id, this->clock.Now());
      this->ArmTimer();
    }
  }
  this->Perform(std::move(actions));
  return allowed;
}

}  // namespace auburnyard
