#include "test/overload_simulation.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "auburnyard/hedging.h"
#include "auburnyard/placement.h"
#include "auburnyard/repeat_budget.h"

namespace auburnyard::test {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kShards = 90;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kFetchersPerDomain = 2;
constexpr std::size_t kFronts = 56;
constexpr std::size_t kSlots = 2;
constexpr std::size_t kQueue = 12;
constexpr milliseconds kDeadline{1'000};
constexpr milliseconds kPause{300};
constexpr milliseconds kPauseInterval{7'500};
constexpr double kWorkSpread = 0.35;
constexpr double kHedgeReserve = 0.25;
// One way, between hosts of a domain and between domains of one region.
constexpr std::chrono::microseconds kNearDelay{200};
constexpr std::chrono::microseconds kRegionDelay{900};
constexpr milliseconds kFarDelay{20};
constexpr milliseconds kAnswerMargin{10};
// Number of missing parts of a bundle that was not started.
constexpr std::size_t kRefused = kShards;
// Share by which the Retry-After after a refusal by a fetching host is chosen.
constexpr double kRefusedShare = 0;

Duration DelayBetween(std::size_t from, std::size_t to) {
  if (from == to) {
    return kNearDelay;
  }
  return from / 2 == to / 2 ? Duration(kRegionDelay) : Duration(kFarDelay);
}

}  // namespace

struct OverloadSimulation::Exchange {
  std::shared_ptr<Bundle> bundle;
  PartAttempt id;
  Target* target = nullptr;
  TargetPtr state;
  Duration delay{};  // one way
  TimePoint sent_at{};
  TimePoint abandoned_at = TimePoint::max();
};

struct OverloadSimulation::Target {
  std::size_t shard = 0;
  std::size_t replica = 0;
  std::size_t domain = 0;
  std::size_t running = 0;
  std::deque<std::shared_ptr<Exchange>> queue;
  Duration pause_phase{};
};

struct OverloadSimulation::Fetcher {
  std::size_t domain = 0;
  std::vector<TargetPtr> states;  // by target
  std::vector<std::shared_ptr<WorkEstimate>> work;
  std::vector<RepeatBudget> budgets;
  AdmissionControl control;
};

struct OverloadSimulation::Front {
  std::size_t domain = 0;
  AdmissionView view;
};

struct OverloadSimulation::Query {
  std::size_t kind = 0;
  std::string account;
  Front* front = nullptr;
  TimePoint first_arrival{};
  TimePoint arrival{};
  bool ended = false;
  std::size_t missing = 0;
  std::size_t ended_bundles = 0;
  std::size_t refused_bundles = 0;
  std::vector<std::weak_ptr<Bundle>> bundles;  // that were started
};

struct OverloadSimulation::Bundle {
  std::shared_ptr<Query> query;
  std::size_t fetcher = 0;
  std::unique_ptr<FanOut> fan_out;
  std::vector<std::vector<std::shared_ptr<Exchange>>> exchanges;  // by part
};

OverloadSimulation::OverloadSimulation(OverloadOptions load)
    : options(std::move(load)),
      by_kind(this->options.kinds.size()),
      random(this->options.seed) {
  std::uniform_int_distribution<Duration::rep> phase(
      0, Duration(kPauseInterval).count());
  for (std::size_t i = 0; i < kShards * kReplicas; ++i) {
    this->targets.push_back(std::make_unique<Target>(
        Target{.shard = i / kReplicas,
               .replica = i % kReplicas,
               .domain = (i / kReplicas) % 2 + 2 * (i % kReplicas),
               .pause_phase = Duration(phase(this->random))}));
  }
  for (const QueryKind& kind : this->options.kinds) {
    for (std::size_t parity = 0; parity < 2; ++parity) {
      Route route{.idempotent = true,
                  .latency_objective = kind.objective,
                  .max_attempts = 2,
                  .priority = kind.priority,
                  .top_records = 1,
                  .min_coverage = kind.min_coverage};
      for (std::size_t shard = parity; shard < kShards; shard += 2) {
        route.shards.push_back("s" + std::to_string(shard));
        this->shard_index[route.shards.back()] = shard;
      }
      this->routes.push_back(std::move(route));
    }
  }
  for (std::size_t i = 0; i < kDomains * kFetchersPerDomain; ++i) {
    auto fetcher = std::make_unique<Fetcher>();
    fetcher->domain = i / kFetchersPerDomain;
    for (const std::unique_ptr<Target>& target : this->targets) {
      const Duration delay = DelayBetween(fetcher->domain, target->domain);
      fetcher->states.push_back(std::make_shared<TargetState>(
          TargetEntry{.id = std::to_string(fetcher->states.size()),
                      .slots = kSlots},
          delay == Duration(kFarDelay) ? Distance::kOtherRegion
                                       : Distance::kSameRegion));
      fetcher->states.back()->OnConnected(2 * delay);
    }
    for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      fetcher->work.push_back(std::make_shared<WorkEstimate>());
    }
    fetcher->budgets.assign(kShards, RepeatBudget({.ratio = 0.2, .burst = 2}));
    this->fetchers.push_back(std::move(fetcher));
  }
  for (std::size_t i = 0; i < kFronts; ++i) {
    this->fronts.push_back(std::make_unique<Front>(Front{i % kDomains, {}}));
  }
}

OverloadSimulation::~OverloadSimulation() = default;

void OverloadSimulation::At(TimePoint time, std::function<void()> action) {
  this->events.emplace(std::max(time, this->now), std::move(action));
}

bool OverloadSimulation::InBurst(TimePoint time) const {
  return time >= this->start + this->options.from &&
         time < this->start + this->options.until;
}

void OverloadSimulation::Run() {
  for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
    this->ScheduleArrival(kind);
  }
  while (!this->events.empty()) {
    const auto first = this->events.begin();
    this->now = first->first;
    const std::function<void()> action = std::move(first->second);
    this->events.erase(first);
    action();
  }
}

void OverloadSimulation::ScheduleArrival(std::size_t kind) {
  const bool burst = this->InBurst(this->now);
  const double first = burst ? this->options.account_factor : 1.0;
  const auto others = static_cast<double>(this->options.accounts - 1);
  const double factor = (burst ? this->options.burst_factor : 1.0) *
                        (first + others) / (1 + others);
  std::exponential_distribution<double> gap(
      this->options.kinds[kind].per_second * factor);
  const TimePoint time =
      this->now + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(gap(this->random)));
  if (time >= this->start + this->options.length) {
    return;
  }
  std::discrete_distribution<std::size_t> group({first, others});
  std::uniform_int_distribution<std::size_t> other(1,
                                                   this->options.accounts - 1);
  std::uniform_int_distribution<std::size_t> any(0, kFronts - 1);
  auto query = std::make_shared<Query>();
  query->kind = kind;
  const std::size_t account =
      group(this->random) == 0 ? 0 : other(this->random);
  query->account = "a" + std::to_string(account);
  query->front = this->fronts[any(this->random)].get();
  query->first_arrival = time;
  this->At(time, [this, query] {
    this->Count(*query, &QueryCounts::arrived);
    this->Attempt(query);
    this->ScheduleArrival(query->kind);
  });
}

void OverloadSimulation::Count(const Query& query,
                               double QueryCounts::*counter) {
  if (this->InBurst(query.first_arrival)) {
    this->by_kind[query.kind].*counter += 1;
    this->by_account[query.account == "a0" ? 0 : 1].*counter += 1;
  }
}

void OverloadSimulation::Attempt(const std::shared_ptr<Query>& query) {
  const QueryKind& kind = this->options.kinds[query->kind];
  std::uniform_real_distribution<double> unit(0, 1);
  query->arrival = this->now;
  const double share = query->front->view.ShareOf(
      {kind.objective, 1, kind.priority}, query->account, this->now);
  if (unit(this->random) >= share) {
    this->Refuse(query, share);
    return;
  }
  query->ended = false;
  query->ended_bundles = query->refused_bundles = query->missing = 0;
  query->bundles.clear();
  this->StartBundle(query, 0);
  this->StartBundle(query, 1);
}

void OverloadSimulation::Refuse(const std::shared_ptr<Query>& query,
                                double share) {
  const QueryKind& kind = this->options.kinds[query->kind];
  std::uniform_real_distribution<double> unit(0, 1);
  ++this->refusal_count;
  const TimePoint again =
      this->now +
      AdmissionRetryAfter(share, kind.objective,
                          std::chrono::duration_cast<milliseconds>(
                              query->first_arrival + kDeadline - this->now),
                          unit(this->random));
  if (again - query->first_arrival < kind.objective) {
    this->At(again, [this, query] { this->Attempt(query); });
  } else {
    this->Count(*query, &QueryCounts::refused);
  }
}

void OverloadSimulation::StartBundle(const std::shared_ptr<Query>& query,
                                     std::size_t parity) {
  std::uniform_int_distribution<std::size_t> any(0, kFetchersPerDomain - 1);
  const std::size_t domain = query->front->domain / 2 * 2 + parity;
  auto bundle = std::make_shared<Bundle>();
  bundle->query = query;
  bundle->fetcher = domain * kFetchersPerDomain + any(this->random);
  Fetcher& fetcher = *this->fetchers[bundle->fetcher];
  const QueryKind& kind = this->options.kinds[query->kind];
  const Route& route = this->routes[2 * query->kind + parity];
  FanOutPlan plan;
  plan.route = &route;
  plan.services.assign(route.shards.begin(), route.shards.end());
  plan.work = fetcher.work[query->kind];
  plan.priority = kind.priority;
  plan.arrival = this->now;
  plan.answer_by = query->arrival + kind.objective - kAnswerMargin;
  plan.deadline = query->arrival + kDeadline;
  plan.partial = true;
  bundle->exchanges.resize(route.shards.size());
  bundle->fan_out =
      std::make_unique<FanOut>(std::move(plan), this->MakeHooks(bundle));
  if (this->options.admission && !this->MayStart(*bundle)) {
    this->OnBundleEnd(bundle, kRefused);
    return;
  }
  query->bundles.push_back(bundle);
  bundle->fan_out->Start(this->now);
  this->Arm(bundle);
}

bool OverloadSimulation::MayStart(const Bundle& bundle) {
  Fetcher& fetcher = *this->fetchers[bundle.fetcher];
  const QueryKind& kind = this->options.kinds[bundle.query->kind];
  std::vector<TargetLoad> loads;
  for (const std::string_view shard : bundle.fan_out->plan().services) {
    const std::size_t first = this->shard_index.find(shard)->second * kReplicas;
    TargetLoad best = fetcher.states[first]->Load(this->now);
    for (std::size_t i = 1; i < kReplicas; ++i) {
      const TargetLoad load = fetcher.states[first + i]->Load(this->now);
      if (load.Rank() < best.Rank()) {
        best = load;
      }
    }
    loads.push_back(best);
  }
  return fetcher.control.OnRequest({kind.objective, 1, kind.priority},
                                   bundle.query->account,
                                   {loads, bundle.fan_out->AllowedMissing(),
                                    fetcher.work[bundle.query->kind]->Usual()},
                                   this->now);
}

FanOutHooks OverloadSimulation::MakeHooks(
    const std::shared_ptr<Bundle>& bundle) {
  FanOutHooks hooks;
  const std::weak_ptr<Bundle> weak = bundle;
  Fetcher& fetcher = *this->fetchers[bundle->fetcher];
  hooks.choose_target = [this, weak, &fetcher](
                            std::string_view service,
                            std::span<const TargetPtr> tried) {
    const QueryKind& kind = this->options.kinds[weak.lock()->query->kind];
    const PlacementNeeds needs{
        .work = fetcher.work[weak.lock()->query->kind].get(),
        .objective = kind.objective};
    const std::size_t shard = this->shard_index.find(service)->second;
    TargetPtr best;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const TargetPtr& state = fetcher.states[shard * kReplicas + i];
      if (std::find(tried.begin(), tried.end(), state) == tried.end() &&
          (best == nullptr || PlacementCost(*state, needs, this->now) <
                                  PlacementCost(*best, needs, this->now))) {
        best = state;
      }
    }
    return best;
  };
  hooks.take_repeat = [this, &fetcher](std::string_view service,
                                       AttemptPurpose purpose) {
    return fetcher.budgets[this->shard_index.find(service)->second].Take(
        this->now, purpose == AttemptPurpose::kHedge ? kHedgeReserve : 0.0);
  };
  hooks.send_attempt = [this, weak](PartAttempt id, const TargetPtr& state) {
    this->Send(weak.lock(), id, state);
  };
  hooks.abandon_attempt = [this, weak](PartAttempt id) {
    weak.lock()->exchanges[id.part][id.attempt]->abandoned_at = this->now;
  };
  hooks.finish = [this, weak](const FanOutResult& result) {
    const auto ended = weak.lock();
    this->OnBundleEnd(ended, result.kind == FanOutResult::Kind::kMerged
                                 ? result.missing_parts
                                 : ended->exchanges.size());
  };
  hooks.count_replicas = [](std::string_view) { return kReplicas; };
  return hooks;
}

void OverloadSimulation::Send(const std::shared_ptr<Bundle>& bundle,
                              PartAttempt id,
                              const TargetPtr& state) {
  Fetcher& fetcher = *this->fetchers[bundle->fetcher];
  const std::size_t index = std::stoul(state->entry().id);
  Target& target = *this->targets[index];
  if (id.attempt == 0) {
    fetcher.budgets[target.shard].OnRequest(this->now);
  }
  const auto exchange = std::make_shared<Exchange>(
      Exchange{bundle, id, &target, state,
               DelayBetween(fetcher.domain, target.domain), this->now});
  bundle->exchanges[id.part].push_back(exchange);
  state->OnSent(this->now, fetcher.work[bundle->query->kind].get());
  this->At(this->now, [bundle, id] { bundle->fan_out->OnSent(id); });
  const bool down = this->InBurst(this->now) && this->options.is_down &&
                    this->options.is_down(target.shard, target.replica);
  this->At(this->now + exchange->delay, [this, exchange, down] {
    if (!down && exchange->target->queue.size() < kQueue) {
      exchange->target->queue.push_back(exchange);
      this->StartQueued(*exchange->target);
      return;
    }
    this->At(this->now + exchange->delay, [this, exchange, down] {
      if (down) {
        exchange->state->OnFailed(exchange->sent_at, this->now);
        exchange->state->OnUnreachable(this->now);
      } else {
        exchange->state->OnRefused(exchange->sent_at, this->now);
      }
      if (exchange->abandoned_at == TimePoint::max()) {
        exchange->bundle->fan_out->OnFailure(
            exchange->id, down ? PartFailure::kLost : PartFailure::kRefused,
            this->now);
        this->Arm(exchange->bundle);
      }
    });
  });
}

bool OverloadSimulation::IsSlow(const Target& target) const {
  return this->InBurst(this->now) && this->options.is_slow &&
         this->options.is_slow(target.shard, target.replica);
}

void OverloadSimulation::StartQueued(Target& target) {
  std::lognormal_distribution<double> spread(-kWorkSpread * kWorkSpread / 2,
                                             kWorkSpread);
  while (!target.queue.empty() && target.running < kSlots) {
    const std::shared_ptr<Exchange> exchange = target.queue.front();
    target.queue.pop_front();
    const bool dropped =
        exchange->abandoned_at != TimePoint::max() &&
        exchange->abandoned_at +
                LingerTime(*exchange->state, exchange->sent_at) <
            this->now;
    if (dropped) {
      exchange->state->OnAbandoned(exchange->sent_at);
      continue;
    }
    ++target.running;
    const double factor =
        spread(this->random) *
        (this->IsSlow(target) ? this->options.slow_factor : 1.0);
    TimePoint end =
        this->now +
        std::chrono::duration_cast<Duration>(
            factor * this->options.kinds[exchange->bundle->query->kind].work);
    // Work that meets a pause takes longer by its length.
    const Duration until_pause =
        Duration(kPauseInterval) -
        (this->now.time_since_epoch() + target.pause_phase) % kPauseInterval;
    end += end - this->now > until_pause ? Duration(kPause) : Duration::zero();
    this->At(end, [this, exchange] { this->Complete(exchange); });
  }
}

void OverloadSimulation::Complete(const std::shared_ptr<Exchange>& exchange) {
  Target& target = *exchange->target;
  --target.running;
  this->StartQueued(target);
  const LoadReport report{
      .running = static_cast<std::uint32_t>(target.running),
      .waiting = static_cast<std::uint32_t>(target.queue.size()),
      .slots = kSlots,
      .speed_percent =
          this->IsSlow(target)
              ? static_cast<std::uint32_t>(100 * this->options.slow_factor)
              : 100};
  this->At(this->now + exchange->delay, [this, exchange, report] {
    const auto& bundle = exchange->bundle;
    exchange->state->OnLoad(report, this->now);
    exchange->state->OnReply(
        exchange->sent_at, this->now,
        this->fetchers[bundle->fetcher]->work[bundle->query->kind].get());
    if (exchange->abandoned_at == TimePoint::max()) {
      bundle->fan_out->OnReply(exchange->id, {.status = 200, .signature = "s"},
                               this->now);
      this->Arm(bundle);
    }
  });
}

void OverloadSimulation::Arm(const std::shared_ptr<Bundle>& bundle) {
  if (bundle->fan_out->finished()) {
    return;
  }
  this->At(bundle->fan_out->NextTimer(), [this, bundle] {
    if (!bundle->fan_out->finished() &&
        bundle->fan_out->NextTimer() <= this->now) {
      bundle->fan_out->OnTimer(this->now);
      this->Arm(bundle);
    }
  });
}

void OverloadSimulation::OnBundleEnd(const std::shared_ptr<Bundle>& bundle,
                                     std::size_t missing) {
  const auto query = bundle->query;
  const QueryKind& kind = this->options.kinds[query->kind];
  Fetcher& fetcher = *this->fetchers[bundle->fetcher];
  std::vector<AdmissionShare> shares;
  if (this->options.admission) {
    if (missing != kRefused) {
      fetcher.control.OnOutcome(
          {kind.objective, 1, kind.priority},
          missing <= bundle->fan_out->AllowedMissing() &&
              this->now <= query->arrival + kind.objective);
    }
    shares = fetcher.control.Shares(this->now);
  }
  const TimePoint received =
      this->now + DelayBetween(fetcher.domain, query->front->domain);
  this->At(received, [this, query, shares, missing, name = bundle->fetcher] {
    query->front->view.OnReport(std::to_string(name), shares, this->now);
    ++query->ended_bundles;
    query->missing += missing;
    query->refused_bundles += missing == kRefused ? 1 : 0;
    this->CheckQuery(query);
  });
}

void OverloadSimulation::CheckQuery(const std::shared_ptr<Query>& query) {
  const QueryKind& kind = this->options.kinds[query->kind];
  if (query->ended ||
      (query->ended_bundles < 2 && query->refused_bundles == 0)) {
    return;
  }
  if (query->refused_bundles > 0 && query->ended_bundles < 2) {
    // The other bundle cannot make up for the refused one.
    for (const std::weak_ptr<Bundle>& other : query->bundles) {
      if (const auto started = other.lock()) {
        started->fan_out->Cancel();
      }
    }
    if (query->bundles.empty()) {
      return;  // the other one is refused as well
    }
  }
  query->ended = true;
  const auto present =
      static_cast<double>(kShards) - static_cast<double>(query->missing);
  if (query->refused_bundles == 2) {
    this->Refuse(query, kRefusedShare);
  } else if (present < kind.min_coverage * static_cast<double>(kShards)) {
    this->Count(*query, &QueryCounts::lost);
  } else if (this->now <= query->first_arrival + kind.objective) {
    this->Count(*query, &QueryCounts::in_time);
  }
}

}  // namespace auburnyard::test
