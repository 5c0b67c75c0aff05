#include "src/relay/relayed_request.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

namespace {

// The route of a bundle has another name than that of the caller's request.
std::string KindOf(const Route& route) {
  return std::to_string(route.latency_objective.count()) + "/" +
         std::to_string(route.top_records) +
         (route.fans_out() ? "" : "/" + route.name);
}

}  // namespace

RelayedRequest::RelayedRequest(const RelayContext& relay_context,
                               std::shared_ptr<const RouteTable> route_table,
                               FanOutPlan plan,
                               CallerRequest caller,
                               Hooks request_hooks)
    : context(relay_context),
      table(std::move(route_table)),
      shared(std::make_shared<TargetExchange::SharedRequest>()),
      hooks(std::move(request_hooks)),
      attempts(plan.services.size()),
      timer(relay_context.io) {
  this->shared->head = std::move(caller.forwarded_head);
  if (!caller.account.empty()) {
    this->shared->head += this->context.codec.encode_account(caller.account);
  }
  this->account = std::move(caller.account);
  this->shared->body = std::move(caller.body);
  this->shared->request_id = std::move(caller.request_id);
  this->shared->head_method = caller.head_method;
  this->shared->idempotent = plan.route->idempotent;
  this->shared->forwards_reply = !plan.route->fans_out();
  this->shared->priority = plan.priority;
  this->shared->arrival = plan.arrival;
  this->shared->deadline = plan.deadline;
  this->shared->work = plan.work;
  this->shared->kind = KindOf(*plan.route);
  this->state_machine =
      std::make_unique<FanOut>(std::move(plan), this->MakeFanOutHooks());
}

FanOutHooks RelayedRequest::MakeFanOutHooks() {
  FanOutHooks side_effects;
  side_effects.choose_target = this->hooks.choose_target;
  side_effects.take_repeat = this->hooks.take_repeat;
  side_effects.send_attempt = [this](PartAttempt id, const TargetPtr& target) {
    this->Send(id, target);
  };
  side_effects.abandon_attempt = [this](PartAttempt id) { this->Abandon(id); };
  side_effects.finish = [this](FanOutResult result) {
    this->Finish(std::move(result));
  };
  side_effects.count_replicas = this->hooks.count_replicas;
  side_effects.send_bundle = [this](std::uint32_t index,
                                    const TargetPtr& host) {
    this->SendBundle(index, host);
  };
  side_effects.abandon_bundle = [this](std::uint32_t index) {
    const Attempt& bundle = this->bundles[index];
    bundle.pool->Abandon(bundle.exchange);
  };
  return side_effects;
}

void RelayedRequest::Start() {
  const auto self = this->shared_from_this();
  this->state_machine->Start(this->context.clock.Now());
  this->ArmTimer();
}

void RelayedRequest::Send(PartAttempt id, const TargetPtr& target) {
  auto exchange = std::make_shared<TargetExchange>();
  exchange->request = this->shared;
  const auto self = this->shared_from_this();
  exchange->on_sent = [self, id] { self->state_machine->OnSent(id); };
  exchange->on_reply = [self, id](RelayReply reply) {
    self->state_machine->OnReply(id, std::move(reply),
                                 self->context.clock.Now());
    self->ArmTimer();
  };
  exchange->on_failure = [self, id](PartFailure failure) {
    self->state_machine->OnFailure(id, failure, self->context.clock.Now());
    self->ArmTimer();
  };
  std::shared_ptr<TargetPool> pool = this->hooks.pool_of(target);
  this->attempts[id.part].push_back({pool, exchange});
  pool->Submit(std::move(exchange));
}

void RelayedRequest::SendBundle(std::uint32_t index, const TargetPtr& host) {
  const FanOutPlan& plan = this->state_machine->plan();
  BundleRequest bundle{
      .max_missing_parts = this->state_machine->AllowedMissing(),
      .top_records = plan.route->top_records,
      .max_attempts = plan.route->max_attempts,
      .priority = plan.priority,
      .latency_objective = plan.route->latency_objective,
      .account = this->account};
  if (this->may_be_refused) {
    bundle.refusable_missing_parts =
        static_cast<std::uint32_t>(this->state_machine->AllowedMissing(index));
  }
  for (const std::uint32_t part : plan.bundles[index].parts) {
    bundle.shards.emplace_back(plan.services[part]);
  }
  auto bundle_request =
      std::make_shared<TargetExchange::SharedRequest>(*this->shared);
  bundle_request->head += this->context.codec.encode_bundle(bundle);
  bundle_request->answer_by = plan.answer_by;
  bundle_request->work = nullptr;
  auto exchange = std::make_shared<TargetExchange>();
  this->bundle_requests.push_back(bundle_request);
  exchange->request = std::move(bundle_request);
  const auto self = this->shared_from_this();
  exchange->on_sent = [self, index] {
    self->state_machine->OnBundleSent(index);
  };
  exchange->on_reply = [self, index](RelayReply reply) {
    self->state_machine->OnBundleReply(index, std::move(reply),
                                       self->context.clock.Now());
    self->ArmTimer();
  };
  exchange->on_failure = [self, index](PartFailure failure) {
    self->state_machine->OnBundleFailure(index, failure,
                                         self->context.clock.Now());
    self->ArmTimer();
  };
  std::shared_ptr<TargetPool> pool = this->hooks.pool_of_host(host);
  this->bundles.push_back({pool, exchange});
  pool->Submit(std::move(exchange));
}

void RelayedRequest::Abandon(PartAttempt id) {
  const Attempt& attempt = this->attempts[id.part][id.attempt];
  attempt.pool->Abandon(attempt.exchange);
}

void RelayedRequest::StopBy(TimePoint stop) {
  this->state_machine->StopBy(stop);
  this->shared->stop = stop;
  this->shared->deadline = std::min(this->shared->deadline, stop);
  for (const auto& request : this->bundle_requests) {
    request->stop = stop;
    request->deadline = std::min(request->deadline, stop);
  }
  this->ArmTimer();
}

void RelayedRequest::Cancel() {
  const auto self = this->shared_from_this();
  this->state_machine->Cancel();
  this->timer.cancel();
  this->attempts.clear();
}

void RelayedRequest::Finish(FanOutResult result) {
  const auto self = this->shared_from_this();
  this->timer.cancel();
  this->hooks.finish(*this, std::move(result));
  this->hooks = {};
}

void RelayedRequest::ArmTimer() {
  if (this->state_machine->finished()) {
    return;
  }
  const TimePoint next = this->state_machine->NextTimer();
  // A timer that expires too early only arms itself again.
  if (next >= this->timer_expiry &&
      this->timer_expiry > this->context.clock.Now()) {
    return;
  }
  this->timer_expiry = next;
  this->timer.expires_after(next - this->context.clock.Now());
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->state_machine->finished()) {
          return;
        }
        self->timer_expiry = TimePoint::max();
        self->state_machine->OnTimer(self->context.clock.Now());
        self->ArmTimer();
      });
}

}  // namespace auburnyard
