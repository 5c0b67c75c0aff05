#include "src/daemon/query_service.h"

#include <algorithm>
#include <utility>

#include "auburnyard/decision_records.h"

namespace auburnyard {

struct QueryService::Context {
  QueryRequest request;
  std::string decision;
  TimePoint arrived;
  ServiceConfig config;
  std::shared_ptr<const ShardMap> map;
  std::optional<ClaimGranted> grant;
  std::weak_ptr<DisconnectNotifier> disconnect_notifier;
  Callback callback;
  std::shared_ptr<std::atomic<std::size_t>> running_guard;
};

namespace {

// Gates serve priority classes in the order of the enumerators, so a class is
// mapped to its position in the service's class order.
PriorityClass GatePriority(PriorityClass priority, const ClassOrder& order) {
  const auto* found = std::find(order.begin(), order.end(), priority);
  return static_cast<PriorityClass>(found - order.begin());
}

}  // namespace

QueryService::QueryService(QueryServiceParts service_parts, std::string nonce)
    : parts(std::move(service_parts)), start_nonce(std::move(nonce)) {}

std::shared_ptr<QueryService::Context> QueryService::MakeContext(
    const QueryRequest& request) {
  const std::shared_ptr<const Configuration> configuration =
      this->parts.store.configuration();
  std::shared_ptr<const ShardMap> map =
      this->parts.store.Catalog(request.service);
  if (!configuration || !map) {
    throw Error(ErrorKind::kUnknownService,
                "service \"" + request.service + "\" is not configured");
  }
  auto query = std::make_shared<Context>();
  query->request = request;
  query->decision =
      this->start_nonce + "-" + std::to_string(this->next_query++);
  query->arrived = this->parts.clock.Now();
  const auto service = configuration->services.find(request.service);
  if (service != configuration->services.end()) {
    query->config = service->second;
  }
  query->map = std::move(map);
  return query;
}

void QueryService::Submit(
    const QueryRequest& request,
    const std::shared_ptr<DisconnectNotifier>& disconnect_notifier,
    Callback callback) {
  const std::shared_ptr<Context> query = this->MakeContext(request);
  query->callback = std::move(callback);
  query->disconnect_notifier = disconnect_notifier;
  ++this->running_count;
  // Counts the query until its last reference is released, so that a shutdown
  // also waits for queries whose callers have disconnected.
  query->running_guard = {&this->running_count,
                          [](std::atomic<std::size_t>* count) { --*count; }};
  if (request.idempotent) {
    this->Start(query);
  } else {
    this->SubmitClaimed(query);
  }
}

void QueryService::SubmitClaimed(const std::shared_ptr<Context>& query) {
  this->parts.claims->Claim(query->request.request_id,
                            query->arrived + query->request.deadline,
                            [this, query](const ClaimVerdict& verdict) {
                              this->OnVerdict(query, verdict);
                            });
}

void QueryService::OnVerdict(const std::shared_ptr<Context>& query,
                             const ClaimVerdict& verdict) {
  if (const auto* granted = std::get_if<ClaimGranted>(&verdict)) {
    query->grant = *granted;
    this->Start(query);
    return;
  }
  Refusal refusal;
  if (const auto* repeated = std::get_if<ClaimRepeated>(&verdict)) {
    refusal = RefusalOf(*repeated);
    this->Note(query->decision, Reason::kDuplicateRequest);
  } else {
    const auto& refused = std::get<ClaimRefused>(verdict);
    refusal = RefusalOf(refused);
    this->Note(query->decision, refused.kind == ErrorKind::kRequestTooOld
                                    ? Reason::kRequestTooOld
                                    : Reason::kClaimUnavailable);
  }
  refusal.decision = query->decision;
  this->Finish(query, std::move(refusal));
}

QueryMachine QueryService::MakeMachine(const Context& query) {
  QueryHooks hooks = this->parts.planner.HooksFor(
      query.request.service, query.config,
      [this, service = query.request.service] {
        return this->parts.store.Catalog(service);
      },
      [this, decision = query.decision](Reason reason) {
        this->Note(decision, reason);
      });
  return {query.decision,
          query.request,
          query.map,
          this->parts.planner.PolicyFor(query.request.service, query.config),
          std::move(hooks),
          query.arrived};
}

RunningQueryHooks QueryService::MakeHooks(
    const std::shared_ptr<Context>& query) {
  RunningQueryHooks hooks;
  hooks.enqueue = [this](const std::vector<SubRequest>& batch,
                         const SubRequestObserver& observer) {
    this->parts.dispatcher.Enqueue(batch, observer);
  };
  hooks.cancel = [this](const std::string& target, const AttemptId& id,
                        Reason reason) {
    this->parts.dispatcher.Cancel(target, id, reason);
  };
  if (query->grant) {
    hooks.may_dispatch = [this, grant = *query->grant] {
      return this->parts.claims->MayDispatch(grant);
    };
  }
  hooks.on_start = [this](const std::string& target) {
    this->parts.planner.targets().OnStart(target);
  };
  hooks.on_result =
      [this, service = query->request.service, config = query->config](
          const std::string& target, Duration latency, Duration service_time) {
        this->parts.planner.targets().OnResult(target, service_time,
                                               this->parts.clock.Now());
        this->parts.planner.ObserveLatency(service, config, latency);
        this->parts.recorder.metrics().ObserveSubRequest(latency);
      };
  hooks.on_failure = [this](const std::string& target,
                            const AttemptFailure& failure) {
    if (failure.reason == Reason::kRetryConnectionFailed ||
        failure.reason == Reason::kRetryOwnerSilent) {
      this->parts.planner.targets().OnFailure(target, this->parts.clock.Now());
    } else {
      this->parts.planner.targets().OnEnd(target);
    }
  };
  return hooks;
}

void QueryService::Start(const std::shared_ptr<Context>& query) {
  QueryRequest request = query->request;
  request.priority = GatePriority(request.priority, query->config.class_order);
  auto running = std::make_shared<RunningQuery>(
      this->parts.context, this->parts.clock, this->parts.recorder,
      this->MakeHooks(query), request, this->MakeMachine(*query));
  if (const std::shared_ptr<DisconnectNotifier> disconnect_notifier =
          query->disconnect_notifier.lock()) {
    disconnect_notifier->OnClosed(
        [weak = std::weak_ptr<RunningQuery>(running)] {
          if (const std::shared_ptr<RunningQuery> abandoned = weak.lock()) {
            abandoned->Abandon();
          }
        });
  }
  const TimePoint stop = this->Register(running);
  running->Start([this, query, weak = std::weak_ptr<RunningQuery>(running)](
                     QueryOutcome outcome) {
    {
      const std::lock_guard lock(this->mutex);
      this->started.erase(weak);
    }
    this->Finish(query, std::move(outcome));
  });
  if (stop != TimePoint::max()) {
    running->StopBy(stop);
  }
}

TimePoint QueryService::Register(const std::shared_ptr<RunningQuery>& query) {
  const std::lock_guard lock(this->mutex);
  this->started.insert(query);
  return this->stop_time;
}

void QueryService::StopBy(TimePoint stop) {
  std::vector<std::shared_ptr<RunningQuery>> present;
  {
    const std::lock_guard lock(this->mutex);
    this->stop_time = stop;
    for (const std::weak_ptr<RunningQuery>& weak : this->started) {
      if (std::shared_ptr<RunningQuery> query = weak.lock()) {
        present.push_back(std::move(query));
      }
    }
  }
  for (const std::shared_ptr<RunningQuery>& query : present) {
    query->StopBy(stop);
  }
}

void QueryService::Finish(const std::shared_ptr<Context>& query,
                          QueryOutcome outcome) {
  if (query->grant) {
    this->RecordClaim(*query, outcome);
  }
  Metrics& metrics = this->parts.recorder.metrics();
  metrics.ObserveQuery(query->request.priority,
                       this->parts.clock.Now() - query->arrived);
  if (auto* answer = std::get_if<Answer>(&outcome)) {
    const auto age = this->parts.configuration_age.Age(this->parts.clock.Now());
    answer->configuration_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            age.value_or(Duration::zero()));
    metrics.CountAnswer(answer->missing.empty());
  } else {
    metrics.CountRefusal(std::get<Refusal>(outcome).kind);
  }
  query->callback(std::move(outcome));
}

void QueryService::RecordClaim(const Context& query,
                               const QueryOutcome& outcome) {
  if (const auto* answer = std::get_if<Answer>(&outcome)) {
    this->parts.claims->RecordOutcome(query.request.request_id, *query.grant,
                                      ClaimState::kDone, RunState::kRun,
                                      "snapshot " + answer->snapshot +
                                          ", coverage " +
                                          std::to_string(answer->coverage));
    return;
  }
  const auto& refusal = std::get<Refusal>(outcome);
  this->parts.claims->RecordOutcome(query.request.request_id, *query.grant,
                                    ClaimState::kRefused, refusal.run,
                                    DescribeError(refusal.kind).name);
}

void QueryService::Note(const std::string& decision, Reason reason) {
  this->parts.recorder.Record(
      MakeNoteRecord(decision, reason, this->parts.recorder.Time()));
}

}  // namespace auburnyard
