#include "src/relay/relay_service.h"

#include <algorithm>
#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Time for the answer to reach the caller and to be processed there.
constexpr milliseconds kAnswerMargin{8};
// A final answer is sent this long before the caller stops waiting.
constexpr milliseconds kDeadlineMargin{15};
// Hedges leave this share of the budget to retries, without which a part is
// lost.
constexpr double kHedgeReserve = 0.25;
// Bounds of the delay after which refused callers return. The spread keeps them
// from returning together.
constexpr int kShortestRetryMs = 150;
constexpr int kLongestRetryMs = 450;
constexpr std::uint32_t kOutcomeLinesPerSecond = 20;
constexpr std::uint64_t kRandomSeed = 20261204;

constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;

}  // namespace

RelayService::RelayService(const RelayContext& relay_context,
                           TargetTable& target_table,
                           RelayMetrics& relay_metrics,
                           RepeatBudgetLimits limits)
    : context(relay_context),
      targets(target_table),
      metrics(relay_metrics),
      budget_limits(limits),
      random(kRandomSeed),
      outcome_lines(kOutcomeLinesPerSecond) {}

void RelayService::SetRoutes(std::shared_ptr<const RouteTable> newer) {
  if (this->table != nullptr && newer->version() <= this->table->version()) {
    if (newer->version() < this->table->version()) {
      LogEvent(spdlog::level::warn, "configuration_older",
               {{"version", newer->version()},
                {"in_force", this->table->version()}});
    }
    return;
  }
  LogEvent(spdlog::level::info, "configuration_in_force",
           {{"version", newer->version()}});
  this->table = std::move(newer);
  this->targets.SetRoutes(this->table);
}

void RelayService::SetBudgetLimits(RepeatBudgetLimits limits) {
  this->budget_limits = limits;
  for (auto& [service, budget] : this->budgets) {
    budget.SetLimits(limits);
  }
}

std::function<void()> RelayService::Handle(CallerRequest request,
                                           Responder respond) {
  if (request.request_id.empty() || request.host.empty()) {
    this->Refuse(request, 400, "bad_request",
                 "a request needs a host and a request identifier", respond);
    return nullptr;
  }
  if (this->table == nullptr) {
    this->Refuse(request, kStatusUnavailable, "no_configuration",
                 "no configuration is known yet", respond);
    return nullptr;
  }
  const Route* route = this->table->Find(request.host, request.path);
  if (route == nullptr) {
    this->Refuse(request, 404, "no_route", "no route matches", respond);
    return nullptr;
  }
  const TimePoint now = this->context.clock.Now();
  const milliseconds patience =
      std::min(request.patience.value_or(route->timeout), route->timeout);
  FanOutPlan plan;
  plan.route = route;
  plan.arrival = now;
  plan.deadline = now + std::max(patience - kDeadlineMargin, milliseconds(1));
  plan.answer_by = std::min(
      plan.deadline, now + std::max(route->latency_objective - kAnswerMargin,
                                    milliseconds(1)));
  if (route->fans_out()) {
    plan.services.assign(route->shards.begin(), route->shards.end());
  } else {
    plan.services.push_back(this->PickService(*route));
  }
  for (const std::string_view service : plan.services) {
    this->BudgetOf(service).OnRequest(now);
  }
  RelayedRequest::Hooks hooks;
  hooks.repeat = [this](std::string_view service, AttemptPurpose purpose) {
    return this->TakeRepeat(service, purpose);
  };
  hooks.finish = [this, respond = std::move(respond)](RelayedRequest& relayed,
                                                      FanOutResult result) {
    this->Finish(relayed, std::move(result), respond);
  };
  const auto relayed = std::make_shared<RelayedRequest>(
      this->context, this->targets, this->table, std::move(plan),
      std::move(request), std::move(hooks));
  relayed->Start();
  if (relayed->fan_out().finished()) {
    return nullptr;
  }
  return [relayed] { relayed->Cancel(); };
}

void RelayService::Refuse(const CallerRequest& request,
                          int status,
                          std::string_view kind,
                          std::string_view title,
                          const Responder& respond) {
  this->metrics.CountRefusal(kind);
  std::uint64_t omitted = 0;
  if (this->outcome_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::info, "request_refused",
             {{"request", request.request_id},
              {"kind", kind},
              {"status", status},
              {"omitted", omitted}});
  }
  const milliseconds retry_after =
      status == kStatusUnavailable ? this->RetryAfter() : milliseconds(0);
  respond(MakeRefusal(status, title, kind, RunState::kNotRun, retry_after));
}

milliseconds RelayService::RetryAfter() {
  std::uniform_int_distribution<int> delay(kShortestRetryMs, kLongestRetryMs);
  return milliseconds(delay(this->random));
}

std::string_view RelayService::PickService(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  double total = 0;
  for (const WeightedService& choice : route.services) {
    total += choice.weight;
  }
  double point = std::uniform_real_distribution<double>(0, total)(this->random);
  for (const WeightedService& choice : route.services) {
    point -= choice.weight;
    if (point < 0) {
      return choice.service;
    }
  }
  return route.services.back().service;
}

RepeatBudget& RelayService::BudgetOf(std::string_view service) {
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    return found->second;
  }
  return this->budgets
      .emplace(std::string(service), RepeatBudget(this->budget_limits))
      .first->second;
}

bool RelayService::TakeRepeat(std::string_view service,
                              AttemptPurpose purpose) {
  const double reserve =
      purpose == AttemptPurpose::kHedge ? kHedgeReserve : 0.0;
  const bool granted =
      this->BudgetOf(service).Take(this->context.clock.Now(), reserve);
  this->metrics.CountRepeat(purpose, granted);
  return granted;
}

void RelayService::Finish(RelayedRequest& request,
                          FanOutResult result,
                          const Responder& respond) {
  const Duration latency =
      this->context.clock.Now() - request.fan_out().plan().arrival;
  this->metrics.ObserveRequest(request.fan_out().plan().route->fans_out(),
                               latency);
  if (result.kind == FanOutResult::Kind::kRefusal) {
    this->metrics.CountRefusal(DescribeError(result.error).name);
  } else {
    this->metrics.CountAnswer(result.missing == 0);
  }
  const FanOutPlan& plan = request.fan_out().plan();
  const bool failed =
      result.kind == FanOutResult::Kind::kRefusal ||
      (result.kind == FanOutResult::Kind::kReply && !result.reply.success());
  if (failed || result.missing > 0 || latency > plan.route->latency_objective) {
    this->LogOutcome(request, result, result.reply.status, latency);
  }
  respond(this->MakeAnswer(result));
}

void RelayService::LogOutcome(const RelayedRequest& request,
                              const FanOutResult& result,
                              int status,
                              Duration latency) {
  std::uint64_t omitted = 0;
  if (!this->outcome_lines.Allow(this->context.clock.Now(), omitted)) {
    return;
  }
  const bool refused = result.kind == FanOutResult::Kind::kRefusal;
  LogEvent(spdlog::level::info,
           refused ? "request_refused" : "request_impaired",
           {{"request", request.request_id()},
            {"route", request.fan_out().plan().route->name},
            {"version", this->table->version()},
            {"kind", refused ? DescribeError(result.error).name : "answered"},
            {"run", ToString(result.run)},
            {"target_status", status},
            {"missing", result.missing},
            {"lacking", request.fan_out().DescribeOpen()},
            {"repeats", request.fan_out().repeats()},
            {"latency_ms", ToMilliseconds(latency)},
            {"omitted", omitted}});
}

CallerAnswer RelayService::MakeAnswer(const FanOutResult& result) {
  switch (result.kind) {
    case FanOutResult::Kind::kMerged:
      return {this->context.wire.encode_merged(result), result.records};
    case FanOutResult::Kind::kReply:
      return {result.reply.head, result.reply.body};
    case FanOutResult::Kind::kRefusal:
      break;
  }
  return this->MakeFailure(result);
}

// 503 promises that the request has not run and will not; 502 and 504 promise
// nothing.
CallerAnswer RelayService::MakeFailure(const FanOutResult& result) {
  const ErrorDescription& description = DescribeError(result.error);
  if (result.run == RunState::kNotRun) {
    return MakeRefusal(kStatusUnavailable, description.title, description.name,
                       result.run, this->RetryAfter());
  }
  const int status = result.error == ErrorKind::kDeadlineExceeded
                         ? kStatusGatewayTimeout
                         : kStatusBadGateway;
  return MakeRefusal(status, description.title, description.name, result.run,
                     milliseconds(0));
}

}  // namespace auburnyard
