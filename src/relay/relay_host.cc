#include "src/relay/relay_host.h"

#include <csignal>
#include <functional>
#include <utility>

#include <unistd.h>
#include <boost/asio/post.hpp>

#include "src/net/log.h"

namespace auburnyard {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSweepInterval{50};
// Headers that a forwarding host adds.
constexpr std::uint32_t kPeerHeaderBytes = 1024;
// Longer than a forwarding host keeps an idle connection, so that it closes
// first.
constexpr milliseconds kPeerIdleTimeout{90'000};
constexpr int kStatusUnavailable = 503;
constexpr std::uint32_t kEvictionLinesPerSecond = 5;
// Upper bound of the size of another failure domain relative to this one.
constexpr double kMaxDomainSizeFactor = 1.5;
constexpr std::chrono::seconds kBurstDivisionInterval{1};
// Two round trips between regions and the answer of the store. A read that
// takes longer fails or is slow, and callers are better served elsewhere.
constexpr milliseconds kFirstReadTime{100};

asio::ip::tcp::endpoint Endpoint(std::string_view address) {
  const HostPort parsed = ParseHostPort(address);
  return {asio::ip::make_address(parsed.host), parsed.port};
}

RepeatBudgetLimits BudgetLimits(const RelaySettings& settings) {
  return {.ratio = settings.repeat_ratio,
          .burst = settings.repeat_burst,
          .window = settings.repeat_window};
}

// Share of the host's memory that all exchanges together may buffer. The rest
// is for the program, the copy of the store and the first read buffer of each
// connection, and for buffers that grow, which exist twice for a moment.
constexpr std::size_t kExchangeMemoryDivisor = 4;

std::size_t MemoryLimit(const RelaySettings& settings) {
  constexpr std::size_t kMegabyte = 1'024 * 1'024;
  const std::size_t memory =
      settings.memory_mb > 0
          ? settings.memory_mb * kMegabyte
          : static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return memory / kExchangeMemoryDivisor;
}

LimitTolerance Tolerance(const AccountSettings& accounts) {
  return {.window = accounts.limit_window,
          .excess = accounts.limit_excess,
          .margin = accounts.limit_margin};
}

void LogRollout(const RolloutEvent& event) {
  const EvidenceSummary& evidence = event.verdict.evidence;
  LogEvent(
      event.name == "rollout_bad" ? spdlog::level::warn : spdlog::level::info,
      event.name,
      {{"service", event.service},
       {"target_version", event.target_version},
       {"stage", ToString(event.stage)},
       {"reason", event.verdict.reason},
       {"request_kind", event.verdict.request_kind},
       {"answers", evidence.answers},
       {"failures", evidence.failures},
       {"slow", evidence.slow},
       {"old_answers", evidence.old_answers},
       {"old_bad", evidence.old_bad},
       {"probability", evidence.probability},
       {"own_requests", event.counts.all},
       {"own_exposed", event.counts.exposed},
       {"elapsed_ms", event.elapsed_ms}});
}

}  // namespace

RelayHost::RelayHost(RelaySettings host_settings,
                     std::string path,
                     RelayAdapter host_adapter)
    : settings(std::move(host_settings)),
      settings_path(std::move(path)),
      adapter(std::move(host_adapter)),
      memory(MemoryLimit(this->settings), this->MemoryHooks()),
      context{this->io, this->clock, this->adapter.codec, &this->memory},
      rollouts(this->settings.host_name, this->hosts),
      targets(this->context,
              {this->settings.failure_domain, this->settings.region},
              this->settings.domain_regions,
              this->hosts,
              {.host_name = this->settings.host_name,
               .rate_factor = this->settings.cold_rate_factor,
               .rate_margin = this->settings.cold_rate_margin}),
      peers(this->context,
            this->hosts,
            this->settings.host_name,
            this->settings.failure_domain),
      service(this->context,
              this->targets,
              this->peers,
              this->metrics,
              BudgetLimits(this->settings)),
      follower(this->context,
               this->adapter.store,
               this->adapter.schema,
               ParseHostPort(this->settings.store_address),
               {.host_name = this->settings.host_name,
                .failure_domain = this->settings.failure_domain,
                .seed_mirrors = this->settings.mirrors,
                .change_limit = this->settings.change_limit},
               this->service,
               this->targets,
               this->hosts,
               this->metrics),
      callers(this->context, this->ServerHooks(/*for_peers=*/false)),
      peer_server(this->context, this->ServerHooks(/*for_peers=*/true)),
      registration_choice(this->OwnEntry()),
      signals(this->io, SIGTERM, SIGINT, SIGHUP),
      timer(this->io),
      eviction_lines(kEvictionLinesPerSecond) {}

MemoryBudget::Hooks RelayHost::MemoryHooks() {
  MemoryBudget::Hooks hooks;
  hooks.schedule_reclaim = [this] {
    asio::post(this->io, [this] { this->memory.Reclaim(); });
  };
  hooks.on_evicted = [this](const MemoryBudget::Eviction& eviction) {
    this->metrics.CountEviction(eviction.kind);
    std::uint64_t omitted = 0;
    if (this->eviction_lines.Allow(this->clock.Now(), omitted)) {
      LogEvent(spdlog::level::warn, "memory_limit_reached",
               {{"kind", eviction.kind},
                {"name", eviction.name},
                {"bytes", eviction.bytes},
                {"source_bytes", eviction.source_bytes},
                {"used", eviction.used},
                {"limit", eviction.limit},
                {"omitted", omitted}});
    }
  };
  return hooks;
}

CallerServer::Hooks RelayHost::ServerHooks(bool for_peers) {
  CallerServer::Hooks hooks;
  hooks.handle = [this, for_peers](CallerRequest request,
                                   RelayService::Responder done) {
    return this->service.Handle(std::move(request), std::move(done), for_peers);
  };
  hooks.limits = [this, for_peers] {
    const auto& routes = this->service.routes();
    CallerLimits limits = routes == nullptr ? CallerLimits() : routes->limits();
    if (for_peers) {
      limits.header_bytes += kPeerHeaderBytes;
      limits.idle_timeout = kPeerIdleTimeout;
    }
    return limits;
  };
  return hooks;
}

void RelayHost::ListenForHealth() {
  const HostPort address = ParseHostPort(this->settings.readiness_address);
  HttpServerLimits limits;
  limits.memory = &this->memory;
  this->readiness = std::make_shared<HttpServer>(
      this->io, limits,
      [this](const HttpRequest&, const HttpResponder& respond) {
        const bool ready = !this->draining() && this->follower.synchronized();
        respond({.status = ready ? 200 : kStatusUnavailable, .body = "{}"});
      });
  this->readiness->Listen(address.host, address.port);
  if (this->settings.metrics_port != 0) {
    this->metrics_server = std::make_shared<HttpServer>(
        this->io, limits,
        [this](const HttpRequest&, const HttpResponder& respond) {
          const auto& routes = this->service.routes();
          this->metrics.SetStoreState(this->follower.age(),
                                      routes == nullptr ? 0 : routes->version(),
                                      this->follower.revision());
          this->metrics.SetBufferedBytes(this->memory.used(),
                                         this->memory.limit());
          if (this->rollouts.enabled()) {
            this->metrics.SetRollouts(this->rollouts.CountStates());
          }
          respond({.body = this->metrics.Render(),
                   .content_type = std::string(MetricsRegistry::kContentType)});
        });
    this->metrics_server->Listen(
        address.host, static_cast<std::uint16_t>(this->settings.metrics_port));
  }
}

void RelayHost::EnforceAccountLimits() {
  if (this->settings.accounts.limit_window <= std::chrono::seconds(0) ||
      this->settings.accounts_address.empty()) {
    return;
  }
  const LimitTolerance tolerance = Tolerance(this->settings.accounts);
  this->quota_server = std::make_shared<QuotaServer>(
      this->context, this->hosts, this->metrics,
      QuotaPeer{this->settings.host_name, this->settings.failure_domain},
      tolerance, this->settings.domain_regions.size());
  this->quota_server->Listen(this->settings.accounts_address);
  QuotaClient::Hooks hooks;
  hooks.servers = [this] {
    return this->hosts.QuotaServers(this->settings.failure_domain);
  };
  hooks.version = [this] {
    const auto& routes = this->service.routes();
    return routes == nullptr ? 0 : routes->version();
  };
  hooks.host_count = [this] { return this->MaxOtherHosts(); };
  this->quota_client = std::make_shared<QuotaClient>(
      this->context, this->metrics, this->settings.host_name, tolerance,
      this->quota_server, std::move(hooks));
  this->service.SetAccountAdmission(
      {.admit =
           [this](const ClientAccount& account,
                  AccountAdmission::Callback decide) {
             this->quota_client->Admit(account, std::move(decide));
           },
       .give_back =
           [this](const ClientAccount& account) {
             this->quota_client->GiveBack(account);
           }});
}

void RelayHost::Run() {
  this->service.SetAdmissionMode(this->settings.admission);
  this->service.SetOutdatedCheck([this] { return this->follower.outdated(); });
  this->service.SetRevocationCheck([this] {
    const AccountSettings& accounts = this->settings.accounts;
    return accounts.revoke_on_partition &&
           this->follower.age() > accounts.revocation_limit;
  });
  this->StartRollouts();
  // A write to a connection that the peer closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  LogEvent(spdlog::level::info, "host_started",
           {{"host", this->settings.host_name},
            {"failure_domain", this->settings.failure_domain},
            {"callers", this->settings.callers_address}});
  this->ListenForHealth();
  if (!this->settings.mirror_address.empty()) {
    this->follower.ListenForMirror(this->settings.mirror_address);
  }
  this->EnforceAccountLimits();
  this->service.HoldUntilConfigured(this->clock.Now() + kFirstReadTime);
  this->callers.Listen(Endpoint(this->settings.callers_address));
  this->peer_server.Listen(Endpoint(this->settings.peers_address));
  this->follower.SetEpochHook([this](std::uint64_t epoch) {
    if (this->registration != nullptr) {
      this->registration->ObserveEpoch(epoch);
    }
  });
  this->follower.Start();
  this->WaitForSignal();
  this->Sweep();
  this->io.run();
  LogEvent(spdlog::level::info, "host_stopped",
           {{"host", this->settings.host_name}});
}

HostEntry RelayHost::OwnEntry() const {
  return {.name = this->settings.host_name,
          .address = this->settings.peers_address,
          .failure_domain = this->settings.failure_domain,
          .cores = this->settings.cores,
          .mirror_address = this->settings.mirror_address,
          .accounts_address = this->settings.accounts_address};
}

std::size_t RelayHost::MaxOtherHosts() const {
  const auto domain_size =
      static_cast<double>(this->follower.domain_size()) * kMaxDomainSizeFactor;
  return static_cast<std::size_t>(domain_size) * this->hosts.Domains().size();
}

void RelayHost::UpdateBurstDivision() {
  const TimePoint now = this->clock.Now();
  if (now < this->next_burst_division) {
    return;
  }
  this->next_burst_division = now + kBurstDivisionInterval;
  this->service.SetBurstDivision(
      {.host_name = this->settings.host_name,
       .connects = !this->peers.delegates(),
       .connecting_hosts = this->follower.has_store_data()
                               ? this->hosts.SharingHostCount(now)
                               : 0,
       .max_other_hosts = this->MaxOtherHosts()});
}

void RelayHost::UpdateRegistration() {
  if (this->registration == nullptr && !this->draining() &&
      this->follower.has_store_data() &&
      this->registration_choice.ShouldRegister(
          this->hosts.HostsInDomain(this->settings.failure_domain),
          this->clock.Now())) {
    this->Register();
  }
}

void RelayHost::Register() {
  LogEvent(spdlog::level::info, "host_registering",
           {{"host", this->settings.host_name},
            {"neighbours",
             this->hosts.HostsInDomain(this->settings.failure_domain).size()}});
  StoreRegistration::Hooks hooks;
  hooks.on_call = [this](std::string_view kind, StoreCallOutcome outcome) {
    this->metrics.CountStoreCall(kind, outcome);
  };
  hooks.on_epoch = [this](std::uint64_t epoch) {
    this->follower.ObserveEpoch(epoch);
  };
  this->registration = std::make_shared<StoreRegistration>(
      this->context, this->adapter.store,
      ParseHostPort(this->settings.store_address),
      this->adapter.schema.encode_host(this->OwnEntry()),
      std::hash<std::string>()(this->settings.host_name), std::move(hooks));
  this->registration->ObserveEpoch(this->follower.epoch());
  this->registration->Start();
}

void RelayHost::StartRollouts() {
  this->rollouts.SetLimits(this->settings.rollouts);
  this->rollouts.SetHooks({.on_change =
                               [this](std::string_view changed) {
                                 this->targets.UpdateVersions(changed);
                               },
                           .on_event = LogRollout});
  this->targets.SetRollouts(this->rollouts,
                            [this] { return !this->follower.outdated(); });
  this->follower.SetRollouts(this->rollouts);
  RolloutWriter::Hooks writer_hooks;
  writer_hooks.on_call = [this](std::string_view kind,
                                StoreCallOutcome outcome) {
    this->metrics.CountStoreCall(kind, outcome);
  };
  writer_hooks.targets = [this](std::string_view requested) {
    return this->targets.TargetsOf(requested);
  };
  this->rollout_writer = std::make_shared<RolloutWriter>(
      this->context, this->adapter.store, this->adapter.schema,
      ParseHostPort(this->settings.store_address), this->rollouts,
      std::move(writer_hooks));
}

void RelayHost::WaitForSignal() {
  this->signals.async_wait([this](boost::system::error_code error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      this->OnReload();
    } else {
      this->OnTerminate();
    }
    this->WaitForSignal();
  });
}

void RelayHost::OnReload() {
  try {
    RelaySettings changed = LoadRelaySettings(this->settings_path);
    this->service.SetBudgetLimits(BudgetLimits(changed));
    this->service.SetAdmissionMode(changed.admission);
    this->follower.SetChangeLimit(changed.change_limit);
    this->memory.SetLimit(MemoryLimit(changed));
    if (this->quota_server != nullptr &&
        changed.accounts.limit_window > std::chrono::seconds(0)) {
      this->quota_server->SetTolerance(Tolerance(changed.accounts));
      this->quota_client->SetTolerance(Tolerance(changed.accounts));
    }
    this->settings = std::move(changed);
    LogEvent(spdlog::level::info, "settings_reloaded",
             {{"path", this->settings_path}});
  } catch (const Error& error) {
    LogEvent(spdlog::level::err, "settings_rejected",
             {{"path", this->settings_path}, {"error", error.what()}});
  }
}

void RelayHost::OnTerminate() {
  if (this->draining()) {
    return;
  }
  LogEvent(spdlog::level::info, "host_draining",
           {{"sessions", this->callers.sessions()}});
  this->shutdown.emplace(this->clock.Now(), this->settings.shutdown_time);
  this->service.StopBy(this->shutdown->answer_by());
  this->callers.CloseAfterResponses();
  this->peer_server.CloseAfterResponses();
  this->follower.StopMirroring();
  if (this->quota_server != nullptr) {
    this->quota_server->Leave();
  }
  if (this->registration != nullptr) {
    this->registration->Release();
  }
}

void RelayHost::Sweep() {
  this->targets.Sweep();
  this->service.Sweep();
  this->follower.Sweep();
  this->UpdateRegistration();
  // The order of a host that leaves is not waited for by the others.
  if (!this->draining()) {
    this->rollout_writer->Sweep();
  }
  this->UpdateBurstDivision();
  if (this->quota_server != nullptr) {
    this->quota_server->Sweep();
    this->quota_client->Sweep();
  }
  this->peers.Sweep();
  this->callers.Sweep();
  this->peer_server.Sweep();
  const bool ready = this->follower.synchronized() && !this->draining();
  if (ready != this->was_ready) {
    this->was_ready = ready;
    LogEvent(spdlog::level::info, "readiness_changed", {{"ready", ready}});
  }
  if (this->draining()) {
    this->CheckDrained();
    if (this->io.stopped()) {
      return;
    }
  }
  this->timer.expires_after(kSweepInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Sweep();
    }
  });
}

void RelayHost::CheckDrained() {
  const TimePoint now = this->clock.Now();
  if (now < this->shutdown->accept_until()) {
    return;
  }
  this->callers.CloseIdle();
  this->peer_server.CloseIdle();
  const bool busy = this->callers.busy() || this->peer_server.busy();
  if (!busy || now >= this->shutdown->exit_by()) {
    this->Finish();
  }
}

void RelayHost::Finish() {
  LogEvent(spdlog::level::info, "host_drained",
           {{"sessions", this->callers.sessions()}});
  this->follower.Stop();
  this->io.stop();
}

}  // namespace auburnyard
