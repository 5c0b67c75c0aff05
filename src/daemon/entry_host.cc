#include "src/daemon/entry_host.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>
#include <utility>

#include "src/daemon/claim_hooks.h"
#include "src/daemon/host_metrics.h"
#include "src/net/http_client.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

constexpr std::chrono::milliseconds kGateTimerInterval{5};
constexpr std::chrono::milliseconds kDispatcherInterval{50};
constexpr std::chrono::milliseconds kDrainProbeInterval{1000};
// Time for the last answers to be written before the process ends.
constexpr std::chrono::milliseconds kAnswerTime{150};
constexpr std::chrono::milliseconds kGossipInterval{500};
constexpr std::chrono::milliseconds kSweepInterval{500};
constexpr std::chrono::milliseconds kIdleCheckInterval{20};
constexpr std::size_t kGossipPeers = 2;
// Limit on claim writes of the whole fleet; the platform's service handles
// several hundred writes per second for all its users.
constexpr double kFleetClaimWritesPerSecond = 200;

std::string Hex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

ClaimOptions MakeClaimOptions(const Settings& settings, std::uint64_t nonce) {
  ClaimOptions options;
  options.host = settings.id;
  options.start_nonce = Hex(nonce);
  return options;
}

}  // namespace

EntryHost::EntryHost(Settings host_settings)
    : settings(std::move(host_settings)),
      context(static_cast<int>(this->settings.worker_threads)),
      signals(this->context, SIGTERM, SIGINT),
      shutdown_timer(this->context),
      start_nonce(MakeStartNonce()),
      recorder(this->clock, this->metrics),
      platform(std::make_shared<PlatformClient>(
          this->context,
          ParseHostPort(this->settings.platform),
          PlatformClientOptions{})),
      membership(
          std::make_shared<MembershipService>(this->context,
                                              this->settings,
                                              this->clock,
                                              this->MakeMembershipHooks())),
      limits(this->settings.policy,
             this->settings.domain,
             [this](const std::string& target, std::uint32_t limit) {
               return this->membership->ShareOf(target, limit);
             }),
      gates(this->context, this->clock, this->MakeGateHooks(), this->recorder),
      planner(this->settings.policy, this->clock, this->start_nonce),
      dispatcher(this->context,
                 this->clock,
                 this->gates,
                 this->settings.id,
                 this->MakeDispatcherHooks()),
      claims(std::make_shared<ClaimService>(
          this->context,
          this->clock,
          MakeClaimOptions(this->settings, this->start_nonce),
          MakeClaimStore(this->platform),
          SystemWallTime)),
      queries({.context = this->context,
               .clock = this->clock,
               .store = this->store,
               .configuration_age = this->configuration_age,
               .planner = this->planner,
               .dispatcher = this->dispatcher,
               .recorder = this->recorder,
               .claims = this->claims},
              Hex(this->start_nonce)),
      watcher(
          std::make_shared<ConfigurationWatcher>(this->store,
                                                 this->configuration_age,
                                                 this->clock,
                                                 this->MakeConfigurationHooks(),
                                                 this->start_nonce)),
      gossip(this->settings.domain,
             this->store,
             this->configuration_age,
             this->clock,
             this->MakeGossipHooks()),
      editor(MakeEditorHooks(this->platform,
                             this->store,
                             this->watcher,
                             this->MakeConfigurationHooks(),
                             this->settings.id),
             this->start_nonce),
      operator_api(std::make_shared<OperatorApi>(this->MakeOperatorParts())),
      routes(this->MakeRoutesParts()) {
  if (this->settings.policy == SharingPolicy::kOwner) {
    this->gates.SetDomain(this->settings.domain);
  }
}

GateHooks EntryHost::MakeGateHooks() {
  return {
      .limits =
          [this](const TargetConfig& target) {
            return this->limits.LimitsOf(target);
          },
      .may_send =
          [this](const TargetConfig& target) { return this->MaySend(target); }};
}

DispatcherHooks EntryHost::MakeDispatcherHooks() {
  DispatcherHooks hooks;
  if (this->settings.policy == SharingPolicy::kOwner) {
    hooks.owner = [this](const std::string& target) {
      return this->OwnerOf(target);
    };
  }
  hooks.send = [this](const std::string& address, proto::Envelope envelope) {
    return this->membership->Send(address, std::move(envelope));
  };
  hooks.report_unreachable = [this](const std::string& host) {
    this->membership->ReportUnreachable(host);
  };
  return hooks;
}

MembershipHooks EntryHost::MakeMembershipHooks() {
  MembershipHooks hooks;
  hooks.on_document = [this](const PeerIdentity& /*sender*/,
                             const PeerDocument& document) {
    this->watcher->OnPeerDocument({document.digest.key, document.content});
  };
  hooks.in_flight = [this] { return this->InFlight(); };
  hooks.on_change = [this] { this->OnMembershipChange(); };
  return hooks;
}

WatcherHooks EntryHost::MakeConfigurationHooks() {
  WatcherHooks hooks = MakeWatcherHooks(this->context, this->platform);
  hooks.rank = [this] { return this->membership->RankInDomain(); };
  hooks.fleet_size = [this] {
    return this->membership->OtherHosts().size() + 1;
  };
  hooks.push = [this](const DocumentMessage& document) {
    this->membership->PushDocument(
        {.digest = {.key = document.key,
                    .revision = this->store.RevisionOf(document.key)},
         .content = document.text});
  };
  return hooks;
}

ConfigurationGossipHooks EntryHost::MakeGossipHooks() {
  return {
      .send =
          [this](const std::string& address, proto::Envelope envelope) {
            return this->membership->Send(address, std::move(envelope));
          },
      .send_document =
          [this](const std::string& address, const DocumentMessage& document) {
            this->membership->SendDocument(
                address,
                {.digest = {.key = document.key,
                            .revision = this->store.RevisionOf(document.key)},
                 .content = document.text});
          },
      .documents_for =
          [this](std::span<const DocumentDigest> peer_digests) {
            return this->watcher->DocumentsFor(peer_digests);
          }};
}

OperatorApiParts EntryHost::MakeOperatorParts() {
  OperatorApiParts parts;
  parts.operator_key = this->settings.operator_key;
  parts.store = &this->store;
  parts.configuration_age = &this->configuration_age;
  parts.clock = &this->clock;
  parts.editor = &this->editor;
  parts.hosts = [this] { return this->OtherHosts(); };
  parts.faults = [this] { return this->watcher->Faults(); };
  parts.additional_status = [this] {
    return boost::json::object{{"id", this->settings.id},
                               {"domain", this->settings.domain},
                               {"policy", ToString(this->settings.policy)},
                               {"ready", this->Ready()},
                               {"running_queries", this->queries.running()}};
  };
  return parts;
}

HostRoutesParts EntryHost::MakeRoutesParts() {
  return {
      .context = this->context,
      .queries = this->queries,
      .recorder = this->recorder,
      .operator_api = this->operator_api,
      .ready = [this] { return this->Ready(); },
      .request_host_status = [this] { this->RequestHostStatus(); },
      .refresh_metrics =
          [this] {
            MetricsRegistry& registry = this->metrics.registry();
            SetHostGauges(
                registry,
                {.running_queries = this->queries.running(),
                 .remote_sub_requests = this->dispatcher.remote_sub_requests(),
                 .live_hosts = this->membership->LiveCount(),
                 .revision = this->configuration_age.revision(),
                 .age = this->configuration_age.Age(this->clock.Now())});
            SetGateGauges(registry, this->gates);
            SetPlatformGauges(registry, this->platform->counters());
            SetPeerGauges(registry, this->membership->counters());
          }};
}

void EntryHost::Run() {
  HttpServerLimits server_limits;
  server_limits.max_connections = this->settings.max_connections;
  server_limits.max_header_bytes = this->settings.max_header_bytes;
  server_limits.max_body_bytes = this->settings.max_body_bytes;
  server_limits.read_timeout = this->settings.read_timeout;
  this->server = std::make_shared<HttpServer>(
      this->context, server_limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        this->routes.Handle(std::move(request), respond);
      });
  const HostPort address = ParseHostPort(this->settings.listen);
  this->server->Listen(address.host, address.port);
  this->StartParts();
  this->StartTasks();
  this->WaitForSignal();
  LogEvent(spdlog::level::info, "started",
           {{"id", this->settings.id},
            {"domain", this->settings.domain},
            {"listen", this->settings.listen},
            {"policy", ToString(this->settings.policy)}});
  std::vector<std::jthread> workers;
  for (std::uint32_t i = 0; i < this->settings.worker_threads; ++i) {
    workers.emplace_back([this] { this->context.run(); });
  }
}

void EntryHost::StartParts() {
  this->store.OnChange([this](const DocumentDigest& digest) {
    LogEvent(spdlog::level::info, "document in force",
             {{"key", digest.key}, {"revision", digest.revision}});
    if (digest.key == kConfigurationKey) {
      this->OnConfiguration();
    }
  });
  this->membership->SetMessageHandler(
      [this](const proto::Envelope& envelope) { this->OnMessage(envelope); });
  this->membership->Start();
  this->watcher->Start();
}

void EntryHost::AddTask(Duration interval, std::function<void()> task) {
  this->tasks.push_back(
      std::make_shared<PeriodicTask>(this->context, interval, std::move(task)));
  this->tasks.back()->Start();
}

void EntryHost::StartTasks() {
  this->AddTask(kGateTimerInterval, [this] { this->gates.OnTimer(); });
  this->AddTask(kDispatcherInterval, [this] { this->dispatcher.OnTimer(); });
  this->AddTask(kDrainProbeInterval, [this] { this->gates.ProbeDraining(); });
  this->AddTask(kGossipInterval, [this] { this->OnGossipRound(); });
  this->AddTask(kSweepInterval, [this] {
    if (this->membership->RankInDomain() == 0) {
      this->claims->SweepOne();
    }
  });
}

void EntryHost::OnMessage(const proto::Envelope& envelope) {
  if (envelope.body_case() == proto::Envelope::kKnowledge) {
    this->gossip.OnMessage(envelope);
  } else {
    this->dispatcher.OnMessage(envelope);
  }
}

void EntryHost::OnConfiguration() {
  const std::shared_ptr<const Configuration> configuration =
      this->store.configuration();
  this->configuration_age.SetRevision(configuration->revision);
  this->planner.ApplyConfiguration(*configuration);
  this->gates.Apply(*configuration);
}

void EntryHost::OnMembershipChange() {
  std::vector<std::string> live = {this->settings.id};
  for (const MemberStatus& host : this->membership->OtherHosts()) {
    if (host.state == HostState::kLive) {
      live.push_back(host.record.id);
    } else {
      this->dispatcher.OnHostLost(host.record.id,
                                  host.state == HostState::kLeft);
    }
  }
  std::sort(live.begin(), live.end());
  const auto own = std::find(live.begin(), live.end(), this->settings.id);
  this->limits.SetPosition(static_cast<std::size_t>(own - live.begin()),
                           live.size());
  this->claims->SetWriteRate(kFleetClaimWritesPerSecond /
                             static_cast<double>(live.size()));
  this->gossip.Retain(live);
  this->gates.RefreshLimits();
}

void EntryHost::OnGossipRound() {
  std::map<std::string, Duration> delays;
  std::vector<std::string> addresses;
  for (const MemberStatus& host : this->membership->OtherHosts()) {
    if (host.state != HostState::kLive) {
      continue;
    }
    addresses.push_back(host.record.address);
    if (host.round_trip && host.record.domain != this->settings.domain) {
      const auto [known, added] =
          delays.emplace(host.record.domain, *host.round_trip);
      known->second = std::min(known->second, *host.round_trip);
    }
  }
  for (const auto& [domain, delay] : delays) {
    this->planner.targets().SetDomainDelay(domain, delay);
  }
  thread_local std::mt19937 random{std::random_device()()};
  std::shuffle(addresses.begin(), addresses.end(), random);
  addresses.resize(std::min(addresses.size(), kGossipPeers));
  for (const std::string& address : addresses) {
    this->gossip.RequestReport(address);
  }
}

bool EntryHost::MaySend(const TargetConfig& target) const {
  // The baseline policy gives no guarantees, so it ignores the age of the
  // configuration.
  if (target.domain == this->settings.domain ||
      this->settings.policy == SharingPolicy::kRandom) {
    return true;
  }
  return PermissionFor(AgeDependentAction::kRemoteTargetDirect,
                       this->configuration_age.Age(this->clock.Now())) !=
         Permission::kRefused;
}

std::optional<HostRecord> EntryHost::OwnerOf(const std::string& target) {
  const std::shared_ptr<const Configuration> configuration =
      this->store.configuration();
  const auto found = configuration->targets.find(target);
  if (found == configuration->targets.end()) {
    return std::nullopt;
  }
  return this->membership->OwnerOf(target, found->second.domain);
}

std::vector<InFlightWork> EntryHost::InFlight() const {
  std::vector<InFlightWork> work;
  this->gates.ForEach([&work](const GateRunner& gate) {
    if (const std::uint32_t count = gate.in_flight(); count > 0) {
      work.push_back({gate.config().id, count});
    }
  });
  return work;
}

std::vector<HostStatus> EntryHost::OtherHosts() {
  std::vector<HostStatus> hosts = this->gossip.Hosts();
  for (const MemberStatus& host : this->membership->OtherHosts()) {
    const bool known = std::any_of(hosts.begin(), hosts.end(),
                                   [&host](const HostStatus& entry) {
                                     return entry.id == host.record.id;
                                   });
    if (!known && host.state != HostState::kLeft) {
      hosts.push_back({.id = host.record.id, .domain = host.record.domain});
    }
  }
  return hosts;
}

void EntryHost::RequestHostStatus() {
  for (const MemberStatus& host : this->membership->OtherHosts()) {
    if (host.state != HostState::kLeft) {
      this->gossip.RequestReport(host.record.address);
    }
  }
}

bool EntryHost::Ready() {
  if (this->draining.load() || this->store.configuration() == nullptr ||
      !this->membership->Admitted()) {
    return false;
  }
  // The host stays ready when a later change of the group suspends its shares.
  if (!this->serving.load() && this->GroupServes()) {
    this->serving = true;
  }
  return this->serving.load();
}

// True if every target of the domain has an owner and, if this host owns any of
// them, its group has granted it a share.
bool EntryHost::GroupServes() {
  if (this->settings.policy != SharingPolicy::kOwner) {
    return true;
  }
  bool owned = false;
  bool open = false;
  bool complete = true;
  this->gates.ForEach([&](const GateRunner& gate) {
    const TargetConfig target = gate.config();
    const std::optional<HostRecord> owner = this->OwnerOf(target.id);
    complete = complete && owner.has_value();
    if (owner && owner->id == this->settings.id) {
      owned = true;
      open = open || this->limits.LimitsOf(target).slots > 0;
    }
  });
  return complete && (!owned || open);
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
  LogEvent(spdlog::level::info, "shutdown started",
           {{"balancer_lag_ms", this->settings.balancer_lag.count()}});
  this->draining = true;
  // Clients with persistent connections move to other hosts before this one
  // stops.
  this->server->CloseAfterResponses();
  this->shutdown_timer.expires_after(this->settings.balancer_lag);
  this->shutdown_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->StopAccepting();
    }
  });
  // A second signal ends the process immediately.
  this->signals.async_wait(
      [this](boost::system::error_code error, int /*signal*/) {
        if (!error) {
          LogEvent(spdlog::level::warn, "shutdown forced by a second signal");
          this->StopParts();
        }
      });
}

void EntryHost::StopAccepting() {
  this->server->StopAccepting();
  this->membership->Leave();
  this->shutdown_deadline = this->clock.Now() + this->settings.shutdown_timeout;
  this->queries.StopBy(this->shutdown_deadline - kAnswerTime);
  this->FinishWhenIdle();
}

bool EntryHost::Idle() {
  return this->queries.running() == 0 &&
         this->dispatcher.remote_sub_requests() == 0 &&
         this->claims->pending() == 0 && this->InFlight().empty();
}

void EntryHost::FinishWhenIdle() {
  if (this->Idle() || this->clock.Now() >= this->shutdown_deadline) {
    LogEvent(spdlog::level::info, "shutdown finished",
             {{"unanswered", this->queries.running()}});
    this->StopParts();
    return;
  }
  this->shutdown_timer.expires_after(kIdleCheckInterval);
  this->shutdown_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->FinishWhenIdle();
    }
  });
}

void EntryHost::StopParts() {
  for (const std::shared_ptr<PeriodicTask>& task : this->tasks) {
    task->Stop();
  }
  this->watcher->Stop();
  this->membership->Stop();
  this->context.stop();
}

}  // namespace auburnyard
