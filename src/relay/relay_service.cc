#include "src/relay/relay_service.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>

#include "auburnyard/request_priority.h"
#include "auburnyard/status_promise.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Time for the response to reach the caller and to be processed there.
constexpr milliseconds kAnswerMargin{10};
// The final response is sent this long before the caller times out.
constexpr milliseconds kDeadlineMargin{15};
// Share of the budget reserved for retries, without which a part is lost;
// hedges cannot use it.
constexpr double kHedgeReserve = 0.25;
// Bounds of the random Retry-After delay. The spread prevents refused callers
// from retrying at the same time.
constexpr int kMinRetryAfterMs = 150;
constexpr int kMaxRetryAfterMs = 450;
// A host without a configuration waits for the store, which takes longer.
constexpr int kUnconfiguredRetryFactor = 3;
// Bounds the memory of a host that is asked by many callers at its start.
constexpr std::size_t kMaxHeldRequests = 256;
constexpr std::uint32_t kOutcomeLinesPerSecond = 20;
constexpr std::uint32_t kWithheldLinesPerSecond = 100;
constexpr std::uint32_t kUnreadableLinesPerSecond = 100;
constexpr std::uint64_t kRandomSeed = 20261204;

// Fewer parts of a remote failure domain are fetched directly.
constexpr std::size_t kMinBundleParts = 2;
// Name of the route of bundles in logs.
constexpr std::string_view kBundleRouteName = "bundle";
// Time for a bundle whose request names no time-out.
constexpr milliseconds kMaxBundleTime{60'000};
// Share of the repeats of a bundled part that the requesting host keeps, in
// case the other host is lost.
constexpr double kRequesterRepeatShare = 0.2;

// Stands for an empty intersection of regions; no region has this name.
constexpr std::string_view kNoRegion = "-";

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

boost::json::object DescribeLosses(const LossCounts& losses) {
  boost::json::object parts;
  for (std::size_t i = 0; i < losses.size(); ++i) {
    if (losses.at(i) > 0) {
      parts[ToString(static_cast<LossCause>(i))] = losses.at(i);
    }
  }
  return parts;
}

// Cancels the job unless it has ended.
std::function<void()> MakeCancellation(const RelayJobPtr& job) {
  if (!job->cancel) {
    return nullptr;
  }
  return [job] {
    if (job->cancel) {
      std::exchange(job->cancel, nullptr)();
    }
  };
}

// Applies what the account changes of the route. `account` may be null.
void SetAccount(RelayJob& job, const ClientAccount* account) {
  if (job.table->accounts() != nullptr) {
    job.priority = RequestPriority(*job.route, account);
  }
  if (account == nullptr) {
    return;
  }
  job.account = account;
  job.request.account = account->name;
  if (job.allowed_regions.empty()) {
    job.allowed_regions = account->allowed_regions;
  } else if (!account->allowed_regions.empty()) {
    std::erase_if(job.allowed_regions, [account](const std::string& region) {
      return std::find(account->allowed_regions.begin(),
                       account->allowed_regions.end(),
                       region) == account->allowed_regions.end();
    });
    if (job.allowed_regions.empty()) {
      job.allowed_regions.emplace_back(kNoRegion);
    }
  }
}

}  // namespace

RelayService::RelayService(const RelayContext& relay_context,
                           TargetTable& target_table,
                           PeerTable& peer_table,
                           RelayMetrics& relay_metrics,
                           RepeatBudgetLimits limits)
    : context(relay_context),
      targets(target_table),
      peers(peer_table),
      metrics(relay_metrics),
      budget_limits(limits),
      random(kRandomSeed),
      outcome_lines(kOutcomeLinesPerSecond),
      withheld_lines(kWithheldLinesPerSecond),
      unreadable_lines(kUnreadableLinesPerSecond),
      request_admission(relay_context, target_table, relay_metrics) {
  this->peers.SetAdmissionHook(
      [this](const TargetPtr& host, std::span<const AdmissionShare> shares) {
        this->request_admission.OnReport(host->entry().id, shares);
      });
  this->peers.SetLeavingHook(
      [this](std::span<const TargetIncarnation> reported) {
        this->targets.OnLeavingReport(reported);
      });
  this->targets.SetLeavingHook([this] { this->metrics.CountLeavingTarget(); });
  const auto on_unreadable = [this](const TargetPtr& target,
                                    std::string_view request_id,
                                    std::string_view fault) {
    this->OnReplyUnreadable(*target, request_id, fault);
  };
  this->targets.SetUnreadableHook(on_unreadable);
  this->peers.SetUnreadableHook(on_unreadable);
}

bool RelayService::SetRoutes(std::shared_ptr<const RouteTable> newer) {
  if (this->table != nullptr && newer->version() <= this->table->version()) {
    if (newer->version() < this->table->version()) {
      LogEvent(spdlog::level::warn, "configuration_older",
               {{"version", newer->version()},
                {"in_force", this->table->version()}});
    }
    return false;
  }
  this->table = std::move(newer);
  this->targets.SetRoutes(this->table);
  this->SetBudgetLimits(this->budget_limits);
  if (!this->held.empty()) {
    // The targets of the same read are applied first.
    boost::asio::post(this->context.io, [this] { this->ReleaseHeld(); });
  }
  return true;
}

void RelayService::SetBudgetLimits(RepeatBudgetLimits limits) {
  this->budget_limits = limits;
  for (auto& [service, budget] : this->budgets) {
    budget.SetLimits(this->LimitsOf(service));
  }
}

void RelayService::SetBurstDivision(BurstDivision changed) {
  if (changed != this->division) {
    this->division = std::move(changed);
    this->SetBudgetLimits(this->budget_limits);
  }
}

const std::shared_ptr<WorkEstimate>& RelayService::WorkOf(const Route& route) {
  std::shared_ptr<WorkEstimate>& work =
      this->work_estimates[{route.latency_objective, route.top_records}];
  if (work == nullptr) {
    work = std::make_shared<WorkEstimate>();
  }
  return work;
}

PlacementNeeds RelayService::NeedsOf(const Route& route) {
  return {.work = this->WorkOf(route).get(),
          .objective = route.latency_objective};
}

RepeatBudgetLimits RelayService::LimitsOf(std::string_view service) const {
  RepeatBudgetLimits own = this->budget_limits;
  const bool single = this->table != nullptr && this->table->IsSingle(service);
  own.burst = this->division.ShareOf(
      own.burst, service, single ? ServiceUse::kSingle : ServiceUse::kFanOut);
  return own;
}

std::function<void()> RelayService::Handle(CallerRequest request,
                                           Responder respond,
                                           bool from_peer) {
  if (request.request_id.empty() || request.host.empty()) {
    this->Refuse(request, kStatusBadRequest, "bad_request",
                 "a request needs a host and a request identifier", respond);
    return nullptr;
  }
  if (this->table == nullptr && this->context.clock.Now() < this->hold_until &&
      this->held.size() < kMaxHeldRequests) {
    return this->Hold(std::move(request), std::move(respond), from_peer);
  }
  if (this->table == nullptr) {
    this->Refuse(request, kStatusUnavailable, "no_configuration",
                 "no configuration is known yet", respond);
    return nullptr;
  }
  if (from_peer) {
    return this->HandleBundle(std::move(request), std::move(respond));
  }
  request.account.clear();
  const Route* route = this->table->Find(request.host, request.path);
  if (route == nullptr && this->is_outdated()) {
    this->Refuse(request, kStatusUnavailable, "outdated_configuration",
                 "no route matches, and newer routes may exist", respond);
    return nullptr;
  }
  if (route == nullptr) {
    this->Refuse(request, kStatusNotFound, "no_route", "no route matches",
                 respond);
    return nullptr;
  }
  const ClientAccount* account = nullptr;
  if (!this->Authenticate(request, *route, respond, account)) {
    return nullptr;
  }
  const RelayJobPtr job =
      this->MakeJob(std::move(request), std::move(respond), *route);
  SetAccount(*job, account);
  this->Admit(job);
  return MakeCancellation(job);
}

bool RelayService::Authenticate(const CallerRequest& request,
                                const Route& route,
                                const Responder& respond,
                                const ClientAccount*& account) {
  const AccountTable* accounts = this->table->accounts().get();
  if (accounts == nullptr || route.authentication_exempt) {
    return true;
  }
  if (this->is_revocation_unknown()) {
    this->Refuse(request, kStatusUnavailable, "outdated_accounts",
                 "keys may have been revoked", respond);
    return false;
  }
  account = accounts->FindByKey(request.api_key);
  if (account != nullptr) {
    return true;
  }
  if (this->is_outdated()) {
    this->Refuse(request, kStatusUnavailable, "outdated_configuration",
                 "the key is not known, and newer keys may exist", respond);
  } else {
    this->Refuse(request, kStatusUnauthorized, "unknown_key",
                 "the request has no valid key", respond);
  }
  return false;
}

void RelayService::Admit(const RelayJobPtr& job) {
  const Route& route = *job->route;
  const auto retry_after = this->request_admission.FindRefusal(
      *job, *this->WorkOf(route),
      AllowedMissingParts(route.shards.size(), route.min_coverage),
      !this->peers.delegates());
  if (retry_after) {
    this->Refuse(job->request, kStatusUnavailable,
                 DescribeError(ErrorKind::kOverloaded).name,
                 "the request cannot be answered in time", *retry_after,
                 job->respond);
    return;
  }
  if (job->account == nullptr || !job->account->limits.limited() ||
      !this->account_admission.admit) {
    this->Start(job);
    return;
  }
  const auto cancelled = std::make_shared<bool>(false);
  job->cancel = [cancelled] { *cancelled = true; };
  this->account_admission.admit(
      *job->account, [this, job, cancelled](const AccountDecision& decision) {
        if (!*cancelled) {
          this->OnAccountDecision(job, decision);
        } else if (decision.kind == AccountDecision::Kind::kAdmitted) {
          this->account_admission.give_back(*job->account);
        }
      });
}

void RelayService::OnAccountDecision(const RelayJobPtr& job,
                                     const AccountDecision& decision) {
  if (decision.kind == AccountDecision::Kind::kAdmitted) {
    job->counts_for_limit = true;
    this->Start(job);
    return;
  }
  job->cancel = nullptr;
  const bool over = decision.kind == AccountDecision::Kind::kOverLimit;
  this->Refuse(job->request, over ? kStatusTooManyRequests : kStatusUnavailable,
               over ? "account_limit" : "account_usage_unknown",
               over ? "the account has reached its limit"
                    : "the usage of the account is not known",
               decision.retry_after, job->respond);
}

// The route is not looked up here: during a change, the version in force here
// may differ from that of the requesting host, which merges the answer with
// parts from other hosts.
std::function<void()> RelayService::HandleBundle(CallerRequest request,
                                                 Responder respond) {
  if (!request.bundle) {
    this->Refuse(request, kStatusUnavailable, "unreadable_bundle",
                 "the request does not describe the parts it needs", respond);
    return nullptr;
  }
  request.account = std::move(request.bundle->account);
  const RelayJobPtr job =
      this->MakeBundleJob(std::move(request), std::move(respond));
  if (!this->request_admission.MayStartBundle(*job,
                                              *this->WorkOf(*job->route))) {
    this->metrics.CountRefusal("overloaded_bundle");
    CallerAnswer answer = MakeRefusal(
        kStatusUnavailable, DescribeError(ErrorKind::kOverloaded).title,
        DescribeError(ErrorKind::kOverloaded).name, RunState::kNotRun,
        milliseconds(0));
    answer.head += this->request_admission.EncodeShares(/*refused=*/true);
    this->Respond(*job, job->request.request_id, std::move(answer));
    return nullptr;
  }
  this->Start(job);
  return MakeCancellation(job);
}

std::function<void()> RelayService::Hold(CallerRequest request,
                                         Responder respond,
                                         bool from_peer) {
  const auto waiting =
      std::make_shared<HeldRequest>(HeldRequest{.request = std::move(request),
                                                .respond = std::move(respond),
                                                .from_peer = from_peer});
  this->held.push_back(waiting);
  return [waiting] {
    waiting->cancelled = true;
    if (waiting->cancel) {
      std::exchange(waiting->cancel, nullptr)();
    }
  };
}

void RelayService::ReleaseHeld() {
  for (const std::shared_ptr<HeldRequest>& waiting :
       std::exchange(this->held, {})) {
    if (!waiting->cancelled) {
      waiting->cancel =
          this->Handle(std::move(waiting->request), std::move(waiting->respond),
                       waiting->from_peer);
    }
  }
}

void RelayService::Sweep() {
  if (!this->held.empty() && this->context.clock.Now() >= this->hold_until) {
    this->ReleaseHeld();
  }
}

void RelayService::StopBy(TimePoint stop) {
  this->stop_time = stop;
  const auto present = this->running;
  for (const std::shared_ptr<RelayedRequest>& request : present) {
    request->StopBy(stop);
  }
}

RelayJobPtr RelayService::MakeJob(CallerRequest request,
                                  Responder respond,
                                  const Route& route) const {
  const auto job = std::make_shared<RelayJob>();
  const TimePoint now = this->context.clock.Now();
  const milliseconds caller_timeout =
      std::min(request.caller_timeout.value_or(route.timeout), route.timeout);
  const milliseconds objective = route.latency_objective - kAnswerMargin;
  job->table = this->table;
  job->route = &route;
  job->priority = route.priority;
  job->allowed_regions = route.allowed_regions;
  job->arrival = now;
  job->deadline =
      now + std::max(caller_timeout - kDeadlineMargin, milliseconds(1));
  job->answer_by =
      std::min(job->deadline, now + std::max(objective, milliseconds(1)));
  job->request = std::move(request);
  job->respond = std::move(respond);
  return job;
}

RelayJobPtr RelayService::MakeBundleJob(CallerRequest request,
                                        Responder respond) const {
  BundleRequest& bundle = *request.bundle;
  const auto count = static_cast<double>(bundle.shards.size());
  const auto max_missing = static_cast<double>(
      std::min(bundle.max_missing_parts, bundle.shards.size() - 1));
  Route route;
  route.name = kBundleRouteName;
  route.idempotent = true;  // as all routes that fan out
  route.timeout = request.caller_timeout.value_or(kMaxBundleTime);
  route.latency_objective = bundle.latency_objective;
  route.max_attempts = bundle.max_attempts;
  route.priority = bundle.priority;
  route.top_records = bundle.top_records;
  // With more parts missing, the merged answer would miss its coverage as well,
  // so waiting for them costs the requesting host nothing.
  route.min_coverage = (count - max_missing) / count;
  route.shards = std::move(bundle.shards);
  const milliseconds answer_within =
      request.answer_within.value_or(route.latency_objective);
  const RelayJobPtr job =
      this->MakeJob(std::move(request), std::move(respond), route);
  job->from_peer = true;
  job->answer_by = std::min(
      job->deadline, job->arrival + std::max(answer_within, milliseconds(1)));
  job->bundle_route = std::move(route);
  job->route = &*job->bundle_route;
  return job;
}

std::vector<FarPart> RelayService::FindFarParts(const RelayJob& job) {
  const bool delegates = this->peers.delegates();
  const PlacementNeeds needs = this->NeedsOf(*job.route);
  std::vector<FarPart> far_parts;
  for (std::uint32_t i = 0; i < job.route->shards.size(); ++i) {
    DomainCosts costs = this->targets.Costs(job.route->shards[i], needs);
    if (!costs.empty() &&
        (delegates || CheapestDomain(costs) != this->targets.own_domain())) {
      far_parts.push_back({i, std::move(costs)});
    }
  }
  return far_parts;
}

std::vector<PartBundle> RelayService::MakeBundles(const RelayJob& job) {
  std::vector<PartBundle> bundles;
  if (job.from_peer || !job.allowed_regions.empty()) {
    return bundles;
  }
  const Duration margin = FarMargin(this->NeedsOf(*job.route));
  for (auto& [domain, parts] : GroupFarParts(this->FindFarParts(job), margin)) {
    if (parts.size() < kMinBundleParts) {
      continue;
    }
    const TargetPtr host = this->peers.Choose(domain);
    if (host != nullptr) {
      bundles.push_back({host, std::move(parts)});
    }
  }
  return bundles;
}

FanOutPlan RelayService::MakePlan(const RelayJob& job) {
  const Route& route = *job.route;
  FanOutPlan plan;
  plan.route = &route;
  plan.priority = job.priority;
  plan.work = this->WorkOf(route);
  plan.arrival = job.arrival;
  plan.answer_by = job.answer_by;
  plan.deadline = job.deadline;
  plan.partial = job.from_peer;
  if (route.fans_out()) {
    plan.services.assign(route.shards.begin(), route.shards.end());
    plan.bundles = this->MakeBundles(job);
  } else {
    plan.services.push_back(this->PickService(route));
  }
  return plan;
}

// The budget that accrues for a bundled part is divided between the two hosts.
void RelayService::CountRequests(const RelayJob& job, const FanOutPlan& plan) {
  std::vector<double> shares(plan.services.size(),
                             job.from_peer ? 1 - kRequesterRepeatShare : 1.0);
  for (const PartBundle& bundle : plan.bundles) {
    for (const std::uint32_t part : bundle.parts) {
      shares[part] = kRequesterRepeatShare;
    }
  }
  for (std::size_t i = 0; i < plan.services.size(); ++i) {
    this->BudgetOf(plan.services[i]).OnRequest(job.arrival, shares[i]);
  }
}

void RelayService::Start(const RelayJobPtr& job) {
  FanOutPlan plan = this->MakePlan(*job);
  this->CountRequests(*job, plan);
  RelayedRequest::Hooks hooks;
  hooks.choose_target = [this, job](std::string_view service,
                                    std::span<const TargetPtr> tried) {
    TargetPtr target = this->targets.Choose(service, job->allowed_regions,
                                            tried, this->NeedsOf(*job->route));
    const bool late =
        target != nullptr && this->request_admission.RepliesTooLate(
                                 *job, *target, *this->WorkOf(*job->route));
    return late ? nullptr : target;
  };
  hooks.pool_of = [this](const TargetPtr& target) {
    return this->targets.PoolOf(target);
  };
  hooks.pool_of_host = [this](const TargetPtr& host) {
    return this->peers.PoolOf(host);
  };
  hooks.count_replicas = [this](std::string_view service) {
    return this->targets.Replicas(service);
  };
  hooks.take_repeat = [this](std::string_view service, AttemptPurpose purpose) {
    return this->TakeRepeat(service, purpose);
  };
  hooks.finish = [this, job](RelayedRequest& request, FanOutResult result) {
    this->Finish(job, request, std::move(result));
  };
  const auto relayed = std::make_shared<RelayedRequest>(
      this->context, job->table, std::move(plan), std::move(job->request),
      std::move(hooks));
  if (this->request_admission.enabled()) {
    relayed->AllowRefusal();
  }
  job->cancel = [this, relayed] {
    this->running.erase(relayed);
    relayed->Cancel();
  };
  this->running.insert(relayed);
  if (this->stop_time != TimePoint::max()) {
    relayed->StopBy(this->stop_time);
  }
  relayed->Start();
}

void RelayService::Respond(RelayJob& job,
                           std::string_view request_id,
                           CallerAnswer answer) {
  job.cancel = nullptr;
  if (job.from_peer) {
    answer.head += this->context.codec.encode_request_id(request_id);
  }
  const Responder respond = std::move(job.respond);
  respond(std::move(answer));
}

void RelayService::Refuse(const CallerRequest& request,
                          int status,
                          std::string_view kind,
                          std::string_view title,
                          const Responder& respond) {
  const milliseconds retry_after =
      status == kStatusUnavailable
          ? this->RetryAfter() * kUnconfiguredRetryFactor
          : milliseconds(0);
  this->Refuse(request, status, kind, title, retry_after, respond);
}

void RelayService::Refuse(const CallerRequest& request,
                          int status,
                          std::string_view kind,
                          std::string_view title,
                          milliseconds retry_after,
                          const Responder& respond) {
  this->metrics.CountRefusal(kind);
  std::uint64_t omitted = 0;
  if (this->outcome_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::info, "request_refused",
             {{"request", request.request_id},
              {"kind", kind},
              {"status", status},
              {"version", this->table == nullptr ? 0 : this->table->version()},
              {"omitted", omitted}});
  }
  respond(MakeRefusal(status, title, kind, RunState::kNotRun, retry_after));
}

milliseconds RelayService::RetryAfter() {
  std::uniform_int_distribution<int> delay(kMinRetryAfterMs, kMaxRetryAfterMs);
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
      .emplace(std::string(service), RepeatBudget(this->LimitsOf(service)))
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

void RelayService::Finish(const RelayJobPtr& job,
                          RelayedRequest& request,
                          FanOutResult result) {
  this->running.erase(request.shared_from_this());
  if (job->counts_for_limit && result.kind == FanOutResult::Kind::kRefusal &&
      result.run == RunState::kNotRun) {
    this->account_admission.give_back(*job->account);
  }
  const Duration latency = this->context.clock.Now() - job->arrival;
  this->metrics.ObserveRequest(job->route->fans_out(), latency);
  if (result.kind == FanOutResult::Kind::kRefusal) {
    this->metrics.CountRefusal(DescribeError(result.error).name);
  } else {
    this->metrics.CountAnswer(result.missing_parts == 0);
  }
  this->metrics.CountLosses(request.fan_out().losses());
  if (result.withheld_status != 0) {
    this->OnReplyWithheld(*job, request, result);
  }
  const bool failed =
      result.kind == FanOutResult::Kind::kRefusal ||
      (result.kind == FanOutResult::Kind::kReply && !result.reply.success());
  if (failed || result.missing_parts > 0 ||
      latency > job->route->latency_objective) {
    this->LogOutcome(*job, request, result, latency);
  }
  this->request_admission.OnEnd(
      *job, result.kind == FanOutResult::Kind::kMerged &&
                result.missing_parts <= request.fan_out().AllowedMissing() &&
                latency <= job->route->latency_objective);
  CallerAnswer answer = this->MakeAnswer(*job, result);
  if (job->from_peer && result.kind == FanOutResult::Kind::kMerged) {
    answer.head += this->context.codec.encode_bundle_answer(
        job->route->top_records, result.missing_services);
  }
  if (job->from_peer) {
    answer.head += this->request_admission.EncodeShares(/*refused=*/false);
    const auto leaving = this->targets.LeavingTargetsOf(job->route->shards);
    if (!leaving.empty()) {
      answer.head += this->context.codec.encode_leaving(leaving);
    }
  }
  this->Respond(*job, request.request_id(), std::move(answer));
}

void RelayService::OnReplyUnreadable(const TargetState& target,
                                     std::string_view request_id,
                                     std::string_view fault) {
  this->metrics.CountUnreadableReply();
  std::uint64_t omitted = 0;
  if (this->unreadable_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::warn, "reply_unreadable",
             {{"request", request_id},
              {"target", target.entry().id},
              {"fault", fault},
              {"omitted", omitted}});
  }
}

void RelayService::OnReplyWithheld(const RelayJob& job,
                                   const RelayedRequest& request,
                                   const FanOutResult& result) {
  this->metrics.CountWithheldReply(result.withheld_status);
  std::uint64_t omitted = 0;
  if (this->withheld_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::warn, "reply_withheld",
             {{"request", request.request_id()},
              {"route", job.route->name},
              {"target_status", result.withheld_status},
              {"status", FailureStatus(result.error, result.run)},
              {"targets", request.fan_out().DescribeMissing()},
              {"omitted", omitted}});
  }
}

void RelayService::LogOutcome(const RelayJob& job,
                              const RelayedRequest& request,
                              const FanOutResult& result,
                              Duration latency) {
  std::uint64_t omitted = 0;
  if (!this->outcome_lines.Allow(this->context.clock.Now(), omitted)) {
    return;
  }
  const bool refused = result.kind == FanOutResult::Kind::kRefusal;
  LogEvent(spdlog::level::info,
           refused ? "request_refused" : "request_impaired",
           {{"request", request.request_id()},
            {"route", job.route->name},
            {"version", job.table->version()},
            {"from_peer", job.from_peer},
            {"kind", refused ? DescribeError(result.error).name : "answered"},
            {"run", ToString(result.run)},
            {"target_status",
             refused ? result.withheld_status : result.reply.status},
            {"missing", result.missing_parts},
            {"parts", request.fan_out().plan().services.size()},
            {"causes", DescribeLosses(request.fan_out().losses())},
            {"objective_ms", job.route->latency_objective.count()},
            {"lacking", request.fan_out().DescribeMissing()},
            {"repeats", request.fan_out().repeats()},
            {"latency_ms", ToMilliseconds(latency)},
            {"omitted", omitted}});
}

CallerAnswer RelayService::MakeAnswer(const RelayJob& job,
                                      const FanOutResult& result) {
  switch (result.kind) {
    case FanOutResult::Kind::kMerged:
      return {this->context.codec.encode_merged(result), result.records};
    case FanOutResult::Kind::kReply:
      return {result.reply.head, result.reply.body};
    case FanOutResult::Kind::kRefusal:
      break;
  }
  return this->MakeFailure(job, result);
}

CallerAnswer RelayService::MakeFailure(const RelayJob& job,
                                       const FanOutResult& result) {
  const ErrorDescription& description = DescribeError(result.error);
  milliseconds retry_after{0};
  if (result.run == RunState::kNotRun) {
    retry_after = result.error == ErrorKind::kOverloaded
                      ? this->request_admission.RetryAfter(job, 0)
                      : this->RetryAfter();
  }
  return MakeRefusal(FailureStatus(result.error, result.run), description.title,
                     description.name, result.run, retry_after);
}

}  // namespace auburnyard
