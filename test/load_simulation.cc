#include "test/load_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <utility>

#include "auburnyard/hedging.h"
#include "auburnyard/placement.h"

namespace auburnyard::test {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr TimePoint kStart{std::chrono::seconds(1'000)};
constexpr std::array<Duration, 2> kNetworkDelay = {
    std::chrono::microseconds(200), milliseconds(12)};  // near, far; one way
constexpr milliseconds kSweepInterval{50};
constexpr double kWorkSpread = 0.35;
constexpr milliseconds kAnswerMargin{10};
constexpr milliseconds kDeadline{800};
constexpr double kHedgeReserve = 0.25;
constexpr milliseconds kCountInterval{500};
// The speed of a target may change between two of these steps.
constexpr milliseconds kWorkStep{5};

}  // namespace

struct LoadSimulation::Exchange {
  Pool* pool = nullptr;
  Request* request = nullptr;
  PartAttempt id;
  std::size_t kind = 0;
  TimePoint sent_at{};
  bool open = true;     // its result is needed
  bool closed = false;  // its connection was closed
  bool running = false;
  TimePoint abandoned_at{};
};

struct LoadSimulation::Pool {
  Host* host = nullptr;
  Target* target = nullptr;
  TargetPtr state;
  Duration delay{};  // one way
  std::vector<ExchangePtr> busy;
  std::deque<ExchangePtr> waiting;
};

struct LoadSimulation::Target {
  std::size_t index = 0;
  std::size_t running = 0;
  std::deque<ExchangePtr> queue;
  Duration pause_phase{};
  std::vector<std::size_t> received;  // by interval
};

struct LoadSimulation::Host {
  std::size_t region = 0;
  std::vector<Pool> pools;                          // by target
  std::vector<RepeatBudget> budgets;                // by service
  std::vector<std::shared_ptr<WorkEstimate>> work;  // by kind
};

struct LoadSimulation::Request {
  Host* host = nullptr;
  std::size_t kind = 0;
  TimePoint arrival{};
  std::unique_ptr<FanOut> fan_out;
  std::vector<std::vector<ExchangePtr>> exchanges;  // by part
  TimePoint timer = TimePoint::max();
  bool counted = false;  // arrived after the estimates were learned
};

LoadSimulation::LoadSimulation(LoadOptions load_options)
    : options(std::move(load_options)),
      results(this->options.kinds.size()),
      now(kStart),
      end(kStart + this->options.length),
      random(kSeed) {
  for (const LoadKind& kind : this->options.kinds) {
    Route route;
    route.name = kind.name;
    route.idempotent = true;
    route.max_attempts = 2;
    route.top_records = 1;
    route.min_coverage = kind.min_coverage;
    route.latency_objective =
        std::chrono::duration_cast<milliseconds>(kind.objective);
    for (std::size_t i = 0; i < this->options.services; ++i) {
      route.shards.push_back("s" + std::to_string(i));
      this->service_index[route.shards.back()] = i;
    }
    this->routes.push_back(std::move(route));
  }
  std::uniform_real_distribution<double> unit(0, 1);
  for (std::size_t i = 0; i < 2 * this->options.services; ++i) {
    auto target = std::make_unique<Target>();
    target->index = i;
    target->pause_phase = std::chrono::duration_cast<Duration>(
        unit(this->random) * this->options.pause_interval);
    this->targets.push_back(std::move(target));
  }
  for (std::size_t i = 0; i < this->options.hosts; ++i) {
    auto host = std::make_unique<Host>();
    host->region = i % 2;
    for (const std::unique_ptr<Target>& target : this->targets) {
      const bool far = target->index % 2 != host->region;
      Pool pool;
      pool.host = host.get();
      pool.target = target.get();
      pool.delay = kNetworkDelay.at(far ? 1 : 0);
      pool.state = std::make_shared<TargetState>(
          TargetEntry{.id = std::to_string(target->index),
                      .slots = static_cast<std::uint32_t>(this->options.slots)},
          far ? Distance::kOtherRegion : Distance::kSameDomain);
      pool.state->OnConnected(2 * pool.delay);
      host->pools.push_back(std::move(pool));
    }
    host->budgets.assign(
        this->options.services,
        RepeatBudget(
            {.ratio = 0.2, .burst = 3, .window = std::chrono::seconds(10)}));
    for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      host->work.push_back(std::make_shared<WorkEstimate>());
    }
    this->hosts.push_back(std::move(host));
  }
}

LoadSimulation::~LoadSimulation() = default;

void LoadSimulation::Schedule(TimePoint time, std::function<void()> action) {
  this->events.emplace(std::max(time, this->now), std::move(action));
}

void LoadSimulation::Run() {
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

const std::vector<std::size_t>& LoadSimulation::received(
    std::size_t target) const {
  return this->targets.at(target)->received;
}

void LoadSimulation::ScheduleArrival(std::size_t kind) {
  const double phase =
      2 * std::numbers::pi *
      (std::chrono::duration<double>(this->now - kStart) /
       std::chrono::duration<double>(this->options.wave_period));
  std::exponential_distribution<double> gap(
      this->options.kinds[kind].per_second *
      (1 + this->options.wave_swing * std::sin(phase)));
  const TimePoint time =
      this->now + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(gap(this->random)));
  if (time < this->end) {
    this->Schedule(time, [this, kind] {
      this->StartRequest(kind);
      this->ScheduleArrival(kind);
    });
  }
}

void LoadSimulation::StartRequest(std::size_t kind) {
  std::uniform_int_distribution<std::size_t> any(0, this->hosts.size() - 1);
  auto request = std::make_unique<Request>();
  request->host = this->hosts[any(this->random)].get();
  request->kind = kind;
  request->arrival = this->now;
  request->counted = this->now >= kStart + std::chrono::seconds(2);
  request->exchanges.resize(this->options.services);
  FanOutPlan plan;
  plan.route = &this->routes[kind];
  plan.services.assign(plan.route->shards.begin(), plan.route->shards.end());
  plan.work = request->host->work[kind];
  plan.arrival = this->now;
  plan.answer_by =
      this->now + this->options.kinds[kind].objective - kAnswerMargin;
  plan.deadline = this->now + kDeadline;
  for (RepeatBudget& budget : request->host->budgets) {
    budget.OnRequest(this->now, 1);
  }
  request->fan_out =
      std::make_unique<FanOut>(std::move(plan), this->MakeHooks(*request));
  this->results[kind].requests += request->counted ? 1 : 0;
  this->requests.push_back(std::move(request));
  Request& started = *this->requests.back();
  started.fan_out->Start(this->now);
  this->ArmTimer(started);
}

FanOutHooks LoadSimulation::MakeHooks(Request& request) {
  FanOutHooks hooks;
  hooks.choose_target = [this, &request](std::string_view service,
                                         std::span<const TargetPtr> tried) {
    return this->ChooseTarget(request, service, tried);
  };
  hooks.take_repeat = [this, &request](std::string_view service,
                                       AttemptPurpose purpose) {
    RepeatBudget& budget =
        request.host->budgets[this->service_index.find(service)->second];
    return budget.Take(this->now,
                       purpose == AttemptPurpose::kHedge ? kHedgeReserve : 0.0);
  };
  hooks.send_attempt = [this, &request](PartAttempt id,
                                        const TargetPtr& state) {
    this->Submit(request, id, state);
  };
  hooks.abandon_attempt = [this, &request](PartAttempt id) {
    this->Abandon(request.exchanges[id.part][id.attempt]);
  };
  hooks.finish = [this, &request](const FanOutResult& result) {
    this->Finish(request, result);
  };
  hooks.count_replicas = [](std::string_view) -> std::size_t { return 2; };
  return hooks;
}

TargetPtr LoadSimulation::ChooseTarget(const Request& request,
                                       std::string_view service,
                                       std::span<const TargetPtr> tried) {
  const std::size_t index = this->service_index.find(service)->second;
  const WorkEstimate* work = request.host->work[request.kind].get();
  std::vector<TargetPtr> candidates;
  for (std::size_t region = 0; region < 2; ++region) {
    const TargetPtr& state = request.host->pools[2 * index + region].state;
    if (std::find(tried.begin(), tried.end(), state) == tried.end()) {
      candidates.push_back(state);
    }
  }
  const PlacementNeeds needs = {
      .work = work,
      .objective = this->options.prefer_near
                       ? this->options.kinds[request.kind].objective
                       : Duration::zero()};
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [this, &needs](const TargetPtr& left, const TargetPtr& right) {
        return PlacementCost(*left, needs, this->now) <
               PlacementCost(*right, needs, this->now);
      });
  return best == candidates.end() ? nullptr : *best;
}

void LoadSimulation::Submit(Request& request,
                            PartAttempt id,
                            const TargetPtr& state) {
  const auto pool = std::find_if(
      request.host->pools.begin(), request.host->pools.end(),
      [&state](const Pool& candidate) { return candidate.state == state; });
  const auto exchange = std::make_shared<Exchange>();
  exchange->pool = &*pool;
  exchange->request = &request;
  exchange->id = id;
  exchange->kind = request.kind;
  this->firsts += id.attempt == 0 ? 1 : 0;
  this->repeat_count += id.attempt == 0 ? 0 : 1;
  this->far_count += state->distance() == Distance::kOtherRegion ? 1 : 0;
  request.exchanges[id.part].push_back(exchange);
  pool->waiting.push_back(exchange);
  state->SetWaiting(pool->waiting.size(), this->options.connections);
  this->Schedule(this->now, [this, pool = &*pool] { this->Dispatch(*pool); });
}

void LoadSimulation::Dispatch(Pool& pool) {
  while (!pool.waiting.empty() &&
         pool.busy.size() < this->options.connections) {
    const ExchangePtr exchange = pool.waiting.front();
    pool.waiting.pop_front();
    pool.busy.push_back(exchange);
    exchange->sent_at = this->now;
    exchange->request->fan_out->OnSent(exchange->id);
    pool.state->OnSent(this->now, pool.host->work[exchange->kind].get());
    this->Schedule(this->now + pool.delay,
                   [this, exchange] { this->Arrive(exchange); });
  }
  pool.state->SetWaiting(pool.waiting.size(), this->options.connections);
}

void LoadSimulation::Arrive(const ExchangePtr& exchange) {
  if (exchange->closed) {
    return;
  }
  Target& target = *exchange->pool->target;
  const auto interval =
      static_cast<std::size_t>((this->now - kStart) / kCountInterval);
  target.received.resize(std::max(target.received.size(), interval + 1));
  ++target.received[interval];
  if (target.queue.size() >= this->options.queue) {
    this->Schedule(this->now + exchange->pool->delay, [this, exchange] {
      if (exchange->closed) {
        return;
      }
      exchange->pool->state->OnRefused(exchange->sent_at, this->now);
      this->Leave(*exchange->pool, exchange);
      if (std::exchange(exchange->open, false)) {
        exchange->request->fan_out->OnFailure(exchange->id,
                                              PartFailure::kRefused, this->now);
        this->ArmTimer(*exchange->request);
      }
    });
    return;
  }
  target.queue.push_back(exchange);
  this->StartQueued(target);
}

void LoadSimulation::StartQueued(Target& target) {
  std::lognormal_distribution<double> spread(-kWorkSpread * kWorkSpread / 2,
                                             kWorkSpread);
  while (!target.queue.empty() && target.running < this->options.slots) {
    const ExchangePtr exchange = target.queue.front();
    target.queue.pop_front();
    if (exchange->closed) {
      continue;
    }
    ++target.running;
    exchange->running = true;
    const Duration work = std::chrono::duration_cast<Duration>(
        spread(this->random) * this->options.kinds[exchange->kind].work);
    this->Schedule(this->EndOfWork(target, work),
                   [this, exchange] { this->Complete(exchange); });
  }
}

double LoadSimulation::SpeedOf(const Target& target, TimePoint at) const {
  return this->options.speed
             ? this->options.speed(target.index, at - kStart, target.running)
             : 1;
}

TimePoint LoadSimulation::EndOfWork(const Target& target, Duration work) const {
  double factor = 1;
  for (const SlowPeriod& slow : this->options.slow) {
    if (slow.target == target.index && this->now >= kStart + slow.from &&
        this->now < kStart + slow.until) {
      factor = slow.factor;
    }
  }
  Duration left = std::chrono::duration_cast<Duration>(factor * work);
  TimePoint done = this->now;
  while (left > Duration::zero()) {
    const Duration step = std::min<Duration>(left, kWorkStep);
    done += std::chrono::duration_cast<Duration>(this->SpeedOf(target, done) *
                                                 step);
    left -= step;
  }
  if (this->options.pause > Duration::zero()) {
    const Duration interval = this->options.pause_interval;
    TimePoint pause = kStart + target.pause_phase +
                      (this->now - kStart) / interval * interval - interval;
    for (; pause < done; pause += interval) {
      if (pause + this->options.pause > this->now) {
        done += pause + this->options.pause - std::max(pause, this->now);
      }
    }
  }
  return done;
}

void LoadSimulation::Complete(const ExchangePtr& exchange) {
  if (exchange->closed) {
    return;  // the target dropped it
  }
  Target& target = *exchange->pool->target;
  --target.running;
  exchange->running = false;
  LoadReport load = {.running = static_cast<std::uint32_t>(target.running),
                     .waiting = static_cast<std::uint32_t>(target.queue.size()),
                     .slots = static_cast<std::uint32_t>(this->options.slots)};
  if (this->options.reports_speed) {
    load.speed_percent = static_cast<std::uint32_t>(
        std::lround(100 * this->SpeedOf(target, this->now)));
  }
  this->StartQueued(target);
  this->Schedule(this->now + exchange->pool->delay, [this, exchange, load] {
    if (exchange->closed) {
      return;
    }
    Pool& pool = *exchange->pool;
    pool.state->OnLoad(load, this->now);
    pool.state->OnReply(exchange->sent_at, this->now,
                        pool.host->work[exchange->kind].get());
    this->Leave(pool, exchange);
    if (std::exchange(exchange->open, false)) {
      RelayReply reply;
      reply.status = 200;
      reply.signature = "signature";
      exchange->request->fan_out->OnReply(exchange->id, std::move(reply),
                                          this->now);
      this->ArmTimer(*exchange->request);
    }
  });
}

void LoadSimulation::Leave(Pool& pool, const ExchangePtr& exchange) {
  std::erase(pool.busy, exchange);
  this->Dispatch(pool);
}

void LoadSimulation::Abandon(const ExchangePtr& exchange) {
  exchange->open = false;
  exchange->abandoned_at = this->now;
  Pool& pool = *exchange->pool;
  const auto queued =
      std::find(pool.waiting.begin(), pool.waiting.end(), exchange);
  if (queued != pool.waiting.end()) {
    pool.waiting.erase(queued);
    pool.state->SetWaiting(pool.waiting.size(), this->options.connections);
    return;
  }
  this->Schedule(this->now + kSweepInterval,
                 [this, exchange] { this->CheckLinger(exchange); });
}

void LoadSimulation::CheckLinger(const ExchangePtr& exchange) {
  Pool& pool = *exchange->pool;
  if (std::find(pool.busy.begin(), pool.busy.end(), exchange) ==
      pool.busy.end()) {
    return;
  }
  if (this->now - exchange->abandoned_at <
      LingerTime(*pool.state, exchange->sent_at)) {
    this->Schedule(this->now + kSweepInterval,
                   [this, exchange] { this->CheckLinger(exchange); });
    return;
  }
  exchange->closed = true;
  Target& target = *pool.target;
  if (exchange->running) {
    --target.running;
    this->StartQueued(target);
  }
  pool.state->OnAbandoned(exchange->sent_at, this->now,
                          pool.host->work[exchange->kind].get());
  this->Leave(pool, exchange);
}

void LoadSimulation::ArmTimer(Request& request) {
  if (request.fan_out->finished()) {
    return;
  }
  const TimePoint next = request.fan_out->NextTimer();
  if (next >= request.timer) {
    return;
  }
  request.timer = next;
  this->Schedule(next, [this, &request, next] {
    if (request.fan_out->finished() || request.timer != next) {
      return;
    }
    request.timer = TimePoint::max();
    request.fan_out->OnTimer(this->now);
    this->ArmTimer(request);
  });
}

void LoadSimulation::Finish(Request& request, const FanOutResult& result) {
  LoadResult& total = this->results[request.kind];
  const bool in_time = result.kind == FanOutResult::Kind::kMerged &&
                       this->now - request.arrival <=
                           this->options.kinds[request.kind].objective;
  if (!request.counted || !in_time) {
    return;
  }
  const double share = 1.0 - static_cast<double>(result.missing_parts) /
                                 static_cast<double>(this->options.services);
  ++total.in_time;
  total.complete += result.missing_parts == 0 ? 1 : 0;
  total.value += share * share;
}

}  // namespace auburnyard::test
