#include "src/daemon/entry_host.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>
#include <utility>

#include <spdlog/spdlog.h>

#include "src/net/http_client.h"

namespace auburnyard {

namespace {

constexpr std::chrono::milliseconds kGateTimerInterval{10};
constexpr std::chrono::milliseconds kIdleCheckInterval{20};
constexpr std::uint32_t kUnlimited = 1'000'000;

std::string MakeNonce() {
  std::random_device device;
  const std::uint64_t bits =
      (static_cast<std::uint64_t>(device()) << 32) | device();
  return fmt::format("{:016x}", bits);
}

}  // namespace

EntryHost::EntryHost(Settings host_settings)
    : settings(std::move(host_settings)),
      context(static_cast<int>(this->settings.worker_threads)),
      signals(this->context, SIGTERM, SIGINT),
      shutdown_timer(this->context),
      configuration(
          std::make_shared<ConfigurationPoller>(this->context,
                                                this->settings.platform)),
      gates(this->context,
            this->clock,
            [this](const TargetConfig& target) {
              return this->LimitsOf(target);
            }),
      front(this->context,
            this->clock,
            MakeNonce(),
            {.configuration =
                 [this] { return this->configuration->configuration(); },
             .shard_map =
                 [this](const std::string& service) {
                   return this->configuration->Catalog(service);
                 },
             .query_hooks =
                 [this](const QueryRequest&) { return this->MakeQueryHooks(); },
             .policy =
                 [](const QueryRequest&, const ServiceConfig& service) {
                   return QueryPolicy{.hedge_delay = service.hedge_delay,
                                      .early_answer = service.early_answer};
                 },
             .routes = {.enqueue =
                            [this](const std::vector<SubRequest>& batch,
                                   const SubRequestObserver& observer) {
                              for (const SubRequest& request : batch) {
                                this->gates.Enqueue(request, observer);
                              }
                            },
                        .cancel =
                            [this](const std::string& target,
                                   const AttemptId& id,
                                   Reason reason) {
                              this->gates.Cancel(target, id, reason);
                            }}}) {}

void EntryHost::Run() {
  this->AddRoutes();
  HttpServerLimits limits;
  limits.max_connections = this->settings.max_connections;
  limits.max_header_bytes = this->settings.max_header_bytes;
  limits.max_body_bytes = this->settings.max_body_bytes;
  limits.read_timeout = this->settings.read_timeout;
  this->server = std::make_shared<HttpServer>(
      this->context, limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        this->router.Handle(std::move(request), respond);
      });
  const HostPort address = ParseHostPort(this->settings.listen);
  this->server->Listen(address.host, address.port);
  this->configuration->Start([this](const Configuration& changed) {
    spdlog::info("configuration revision {} in force", changed.revision);
    this->gates.Apply(changed);
  });
  this->gate_timer = std::make_shared<PeriodicTask>(
      this->context, kGateTimerInterval, [this] { this->gates.OnTimer(); });
  this->gate_timer->Start();
  this->WaitForSignal();
  std::vector<std::jthread> workers;
  for (std::uint32_t i = 0; i < this->settings.worker_threads; ++i) {
    workers.emplace_back([this] { this->context.run(); });
  }
}

void EntryHost::AddRoutes() {
  const auto reply_text = [](int status, std::string text) {
    return HttpResponse{.status = status,
                        .body = std::move(text),
                        .content_type = "text/plain"};
  };
  this->router.Add(
      "GET", "/livez",
      [reply_text](const HttpRequest&, const HttpResponder& respond) {
        respond(reply_text(200, "live\n"));
      });
  this->router.Add(
      "GET", "/readyz",
      [this, reply_text](const HttpRequest&, const HttpResponder& respond) {
        respond(this->Ready() ? reply_text(200, "ready\n")
                              : reply_text(503, "not ready\n"));
      });
  this->router.Add(
      "POST", "/v1/query",
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->HandleQuery(request, respond);
      });
}

bool EntryHost::Ready() const {
  return !this->draining.load() &&
         this->configuration->configuration() != nullptr;
}

void EntryHost::HandleQuery(const HttpRequest& request,
                            const HttpResponder& respond) {
  this->front.Submit(ParseQueryRequest(request.body), request.peer,
                     [respond](QueryOutcome outcome) {
                       if (const auto* answer = std::get_if<Answer>(&outcome)) {
                         respond({.body = SerializeAnswer(*answer)});
                       } else {
                         respond(MakeRefusal(std::get<Refusal>(outcome)));
                       }
                     });
}

QueryHooks EntryHost::MakeQueryHooks() {
  QueryHooks hooks;
  hooks.order_replicas = [this](const Shard& shard,
                                const std::vector<std::string>& tried) {
    return this->OrderReplicas(shard, tried);
  };
  hooks.take_retry = [] { return true; };
  hooks.take_hedge = [] { return true; };
  hooks.newest_map = [] { return nullptr; };
  return hooks;
}

GateLimits EntryHost::LimitsOf(const TargetConfig& target) const {
  if (this->settings.policy == SharingPolicy::kRandom) {
    return {.slots = kUnlimited,
            .cold_limit = kUnlimited,
            .queue_length = kUnlimited};
  }
  return {.slots = target.slots, .cold_limit = target.cold_limit};
}

std::vector<std::string> EntryHost::OrderReplicas(
    const Shard& shard,
    const std::vector<std::string>& tried) const {
  std::vector<std::pair<std::size_t, std::string>> order;
  for (const std::string& target : shard.targets) {
    const std::shared_ptr<GateRunner> gate = this->gates.Find(target);
    if (gate && std::find(tried.begin(), tried.end(), target) == tried.end()) {
      order.emplace_back(gate->outstanding(), target);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> targets;
  for (auto& [outstanding, target] : order) {
    targets.push_back(std::move(target));
  }
  return targets;
}

void EntryHost::WaitForSignal() {
  this->signals.async_wait(
      [this](boost::system::error_code error, int /*signal*/) {
        if (!error) {
          this->BeginShutdown();
        }
      });
}

void EntryHost::BeginShutdown() {
  spdlog::info("shutdown started; requests are accepted for {} ms more",
               this->settings.balancer_lag.count());
  this->draining = true;
  this->shutdown_timer.expires_after(this->settings.balancer_lag);
  this->shutdown_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->server->StopAccepting();
    this->shutdown_deadline =
        this->clock.Now() + this->settings.shutdown_timeout;
    this->FinishWhenIdle();
  });
}

void EntryHost::FinishWhenIdle() {
  if (this->front.running() == 0 ||
      this->clock.Now() >= this->shutdown_deadline) {
    spdlog::info("shutdown finished with {} requests unanswered",
                 this->front.running());
    this->context.stop();
    return;
  }
  this->shutdown_timer.expires_after(kIdleCheckInterval);
  this->shutdown_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->FinishWhenIdle();
    }
  });
}

}  // namespace auburnyard
