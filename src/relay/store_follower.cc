#include "src/relay/store_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "auburnyard/rendezvous.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Interval of the choice between the store and a mirror.
constexpr std::chrono::seconds kChoiceInterval{1};
// Hosts write their registrations again within 1.5 s of a new epoch, plus the
// time until they see it; the operator writes its keys again within seconds.
constexpr std::chrono::seconds kHeldRemovalTime{5};
// A followed mirror may see a new epoch this much later than this host before
// it is left; otherwise all hosts of its domain would read the store at once.
constexpr milliseconds kMirrorEpochDelay{500};

TargetEntry Dated(TargetEntry entry,
                  const StoreItem& item,
                  std::uint64_t epoch) {
  entry.store_epoch = epoch;
  entry.store_revision = item.revision;
  return entry;
}

}  // namespace

StoreFollower::StoreFollower(const RelayContext& context,
                             const StoreCodec& codec,
                             const StoreSchema& store_schema,
                             const HostPort& store,
                             Identity own,
                             RelayService& relay_service,
                             TargetTable& target_table,
                             HostTable& host_table,
                             RelayMetrics& relay_metrics)
    : schema(store_schema),
      identity(std::move(own)),
      service(relay_service),
      clock(context.clock),
      targets(target_table),
      hosts(host_table),
      metrics(relay_metrics),
      mirror_server(context, codec, this->mirror),
      choice(this->identity.host_name),
      random(HashText(this->identity.host_name)),
      timing(this->identity.change_limit) {
  this->watch = std::make_shared<StoreWatch>(
      context, codec, store, /*key_prefix=*/"",
      HashText(this->identity.host_name), this->timing, this->WatchHooks());
  this->reader = std::make_shared<MirrorReader>(context, codec, this->timing,
                                                this->ReaderHooks());
}

StoreWatch::Hooks StoreFollower::WatchHooks() {
  StoreWatch::Hooks hooks;
  hooks.on_snapshot = [this](const StorePage& page) {
    this->OnSnapshot(page, this->OriginFrom("read", page.epoch));
    this->ChooseSource();
    this->UpdateMirrorServer();
    return this->hosts.HostsInDomain(this->identity.failure_domain).empty();
  };
  hooks.peek_prefix = this->schema.host_prefix;
  hooks.on_peek = [this](const StorePage& page) {
    const std::string_view domain = this->identity.failure_domain;
    const std::size_t before = this->hosts.HostsInDomain(domain).size();
    for (const StoreItem& item : page.items) {
      this->Apply(item, this->OriginFrom("peek", page.epoch));
    }
    this->ChooseSource();
    return !this->hosts.IsLargeDomain(domain) &&
           (before == 0 || this->hosts.HostsInDomain(domain).size() > before);
  };
  hooks.on_changes = [this](const StorePage& page) {
    const PageOrigin origin = this->OriginFrom("watch", page.epoch);
    if (!page.more) {
      this->SetUpToDateAt(this->clock.Now());
    }
    this->OnChanges(page, origin);
    this->ChooseSource();
  };
  hooks.on_lost = [this] {
    this->UpdateMirrorServer();
    this->reader->Start();
  };
  hooks.on_regained = [this] {
    this->reader->Stop();
    this->targets.DeferRemovals();
    this->UpdateMirrorServer();
  };
  hooks.on_epoch = [this](std::uint64_t epoch) { this->OnEpoch(epoch); };
  hooks.on_call = [this](std::string_view kind, StoreCallOutcome outcome) {
    this->metrics.CountStoreCall(kind, outcome);
  };
  return hooks;
}

MirrorReader::Hooks StoreFollower::ReaderHooks() {
  MirrorReader::Hooks hooks;
  hooks.choose_mirror = [this] { return this->NextMirror(); };
  hooks.data_age = [this] { return this->age(); };
  hooks.known_version = [this] { return this->watch->known_version(); };
  hooks.on_page = [this](const StorePage& page, bool is_snapshot) {
    return this->OnMirrorPage(page, is_snapshot);
  };
  hooks.on_failure = [this] {
    this->substitute_mirror.clear();
    if (!this->followed_mirror.empty()) {
      this->choice.OnFailure(this->followed_mirror, this->clock.Now());
      this->LeaveOutdatedMirror();
      this->ChooseSource();
    }
  };
  hooks.on_call = [this](std::string_view kind, StoreCallOutcome outcome) {
    this->metrics.CountStoreCall(kind, outcome);
  };
  return hooks;
}

void StoreFollower::Start() {
  this->watch->Start();
}

void StoreFollower::Stop() {
  this->watch->Stop();
  this->reader->Stop();
}

void StoreFollower::ListenForMirror(const std::string& address) {
  this->mirror_server.Listen(address);
}

void StoreFollower::StopMirroring() {
  this->mirroring_stopped = true;
  this->UpdateMirrorServer();
}

void StoreFollower::UpdateMirrorServer() {
  this->mirror_server.SetDirect(
      !this->mirroring_stopped && this->followed_mirror.empty() &&
      this->watch->synchronized() && !this->watch->lost_contact());
}

void StoreFollower::Sweep() {
  this->mirror_server.Sweep();
  this->RemoveHeld();
  this->UpdateTiming();
  const TimePoint now = this->clock.Now();
  if (now >= this->next_choice) {
    this->next_choice = now + kChoiceInterval;
    this->ChooseSource();
  }
}

// Hosts that follow this one detect a loss of the store as late as this one
// does, and must still receive changes in time.
void StoreFollower::UpdateTiming() {
  const bool followers = this->mirror_server.followers() > 0;
  if (std::exchange(this->has_followers, followers) != followers) {
    this->ApplyTiming();
  }
}

void StoreFollower::SetChangeLimit(milliseconds limit) {
  this->identity.change_limit = limit;
  this->ApplyTiming();
}

void StoreFollower::ApplyTiming() {
  this->timing = StoreTiming(this->identity.change_limit, this->has_followers);
  this->watch->SetTiming(this->timing);
  this->reader->SetTiming(this->timing);
}

void StoreFollower::SetUpToDateAt(TimePoint time) {
  this->up_to_date_at = std::max(this->up_to_date_at, time);
  this->mirror_server.SetUpToDateAt(this->up_to_date_at);
}

Duration StoreFollower::age() const {
  return this->clock.Now() - this->up_to_date_at;
}

bool StoreFollower::outdated() const {
  return this->age() > this->identity.change_limit;
}

void StoreFollower::ChooseSource() {
  if (!this->watch->synchronized() || this->watch->lost_contact()) {
    return;
  }
  const std::vector<HostEntry> neighbours =
      this->hosts.HostsInDomain(this->identity.failure_domain);
  const std::string next = this->choice.Choose(neighbours, this->clock.Now());
  if (next == this->followed_mirror) {
    return;
  }
  LogEvent(spdlog::level::info, "store_source_changed",
           {{"mirror", next},
            {"before", this->followed_mirror},
            {"neighbours", neighbours.size()},
            {"revision", this->mirror.revision()}});
  const bool watched = this->followed_mirror.empty();
  this->followed_mirror = next;
  this->reader->Stop();
  if (next.empty()) {
    this->watch->Resume();
  } else {
    if (watched) {
      this->watch->Pause();
    }
    this->reader->Start();
  }
  this->UpdateMirrorServer();
}

// While the store does not answer this host, a random mirror of any host is
// read, because hosts of one failure domain often lose the store together. It
// is kept while its host watches the store.
std::string StoreFollower::NextMirror() {
  if (!this->followed_mirror.empty()) {
    return this->followed_mirror;
  }
  if (this->substitute_mirror.empty()) {
    this->substitute_mirror = this->PickSubstitute();
  }
  return this->substitute_mirror;
}

std::string StoreFollower::PickSubstitute() {
  std::vector<std::string> addresses;
  for (const HostEntry& host : this->hosts.RegisteredHosts()) {
    if (host.name != this->identity.host_name && !host.mirror_address.empty()) {
      addresses.push_back(host.mirror_address);
    }
  }
  if (addresses.empty()) {
    addresses = this->identity.seed_mirrors;
  }
  if (addresses.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
  return addresses[pick(this->random)];
}

// Without contact to the store, this host cannot tell whether the other host
// defers removals after losing the store itself, so it defers all of them.
bool StoreFollower::OnMirrorPage(const StorePage& page, bool is_snapshot) {
  if (page.epoch < this->watch->epoch()) {
    this->OnMirrorInOlderEpoch(page);
    return false;
  }
  this->watch->ObserveEpoch(page.epoch);
  if (!page.direct) {
    this->substitute_mirror.clear();
  }
  if (is_snapshot && page.version() < this->mirror.version()) {
    return true;
  }
  const TimePoint now = this->clock.Now();
  const PageOrigin origin = this->OriginFrom("mirror", page.epoch);
  this->SetUpToDateAt(now - page.age);
  if (page.followers > 0) {
    this->followed_domain_size = page.followers + 1;
  }
  if (this->followed_mirror.empty() || !page.direct) {
    this->targets.DeferRemovals();
  }
  if (is_snapshot || !page.items.empty()) {
    LogEvent(spdlog::level::info, "mirror_read",
             {{"whole", is_snapshot},
              {"keys", page.items.size()},
              {"revision", page.revision},
              {"direct", page.direct}});
  }
  if (is_snapshot) {
    this->OnSnapshot(page, origin);
  } else {
    this->OnChanges(page, origin);
  }
  this->watch->Advance(page.version());
  this->LeaveOutdatedMirror();
  // The page may show that the followed host has left.
  this->ChooseSource();
  return true;
}

// Called before the first data of the new epoch is applied. Removals are
// deferred as after an outage, because targets write their entries again.
void StoreFollower::OnEpoch(std::uint64_t epoch) {
  this->epoch_seen_at = this->clock.Now();
  this->targets.DeferRemovals();
  if (this->epoch_hook) {
    this->epoch_hook(epoch);
  }
}

// A mirror that is followed is asked again at once, since its host has probably
// seen the new epoch as well.
void StoreFollower::ObserveEpoch(std::uint64_t epoch) {
  if (epoch <= this->watch->epoch()) {
    return;
  }
  this->watch->ObserveEpoch(epoch);
  if (!this->followed_mirror.empty()) {
    this->reader->Stop();
    this->reader->Start();
  }
}

void StoreFollower::OnMirrorInOlderEpoch(const StorePage& page) {
  this->substitute_mirror.clear();
  if (this->followed_mirror.empty() ||
      this->clock.Now() - this->epoch_seen_at < kMirrorEpochDelay) {
    return;
  }
  LogEvent(spdlog::level::warn, "mirror_of_older_epoch",
           {{"mirror", this->followed_mirror},
            {"epoch", page.epoch},
            {"known", this->watch->epoch()}});
  this->choice.OnOutdated(this->clock.Now());
  this->ChooseSource();
}

// Registrations of hosts and evacuations are kept for a while, as
// TargetTable::DeferRemovals does with targets. Without the other hosts, each
// host of a large domain would connect to all targets and read the store.
void StoreFollower::HoldRemovals(const StorePage& page) {
  std::set<std::string_view> present;
  for (const StoreItem& item : page.items) {
    present.insert(item.key);
  }
  const TimePoint until = this->clock.Now() + kHeldRemovalTime;
  const StorePage known = this->mirror.All();
  for (const StoreItem& item : known.items) {
    if (present.contains(item.key)) {
      continue;
    }
    const StoreChange change = this->Decode(item);
    if (std::holds_alternative<HostRegistered>(change) ||
        std::holds_alternative<DomainEvacuation>(change)) {
      this->held_removals[item.key] = {item, until};
    }
  }
}

void StoreFollower::RemoveHeld() {
  const TimePoint now = this->clock.Now();
  std::vector<std::string> due;
  for (const auto& [key, held] : this->held_removals) {
    if (held.until <= now) {
      due.push_back(key);
    }
  }
  for (std::string& key : due) {
    LogEvent(spdlog::level::info, "held_removal_applied", {{"key", key}});
    this->Apply({.key = std::move(key), .removed = true}, PageOrigin());
  }
}

// Switches to the store for a while. A mirror that has lost the store is kept
// while it can still recover in time: otherwise a store that drops all watches
// would receive calls from all hosts at once.
void StoreFollower::LeaveOutdatedMirror() {
  if (this->followed_mirror.empty() ||
      this->age() <= this->timing.mirror_age()) {
    return;
  }
  LogEvent(spdlog::level::warn, "mirror_outdated",
           {{"mirror", this->followed_mirror},
            {"age_ms", ToMilliseconds(this->age())},
            {"revision", this->mirror.revision()}});
  this->choice.OnOutdated(this->clock.Now());
  this->ChooseSource();
}

bool StoreFollower::synchronized() const {
  return this->service.routes() != nullptr && this->targets.size() > 0;
}

StoreChange StoreFollower::Decode(const StoreItem& item) {
  try {
    return this->schema.decode(item);
  } catch (const Error& error) {
    LogEvent(spdlog::level::warn, "store_value_unreadable",
             {{"key", item.key},
              {"revision", item.revision},
              {"error", error.what()}});
    // A registration that cannot be decoded does not identify a usable target.
    if (item.key.starts_with(this->schema.target_prefix)) {
      return TargetUnregistered{this->schema.target_id(item)};
    }
    return UnrelatedKey();
  }
}

StoreFollower::PageOrigin StoreFollower::OriginFrom(std::string_view source,
                                                    std::uint64_t epoch) const {
  PageOrigin origin{.source = source, .epoch = epoch};
  if (this->up_to_date_at != TimePoint()) {
    origin.age = this->age();
  }
  return origin;
}

void StoreFollower::PutInForce(const RoutesChanged& routes,
                               const StoreItem& item,
                               const PageOrigin& origin) {
  if (!this->service.SetRoutes(routes.table)) {
    return;
  }
  if (origin.age) {
    this->metrics.ObserveConfigurationDelay(*origin.age);
  }
  LogEvent(
      spdlog::level::info, "configuration_in_force",
      {{"version", routes.table->version()},
       {"revision", item.revision},
       {"source", origin.source},
       {"replaced_age_ms", origin.age ? ToMilliseconds(*origin.age) : -1.0}});
}

bool StoreFollower::ApplyRollout(const StoreChange& change) {
  const TimePoint now = this->clock.Now();
  if (this->rollouts == nullptr) {
    return false;
  }
  if (const auto* order = std::get_if<RolloutOrder>(&change)) {
    this->rollouts->OnOrder(*order, now);
  } else if (const auto* withdrawn = std::get_if<RolloutWithdrawn>(&change)) {
    this->rollouts->OnWithdrawn(withdrawn->service, withdrawn->revision, now);
  } else if (const auto* status = std::get_if<RolloutStatus>(&change)) {
    this->rollouts->OnStatus(*status, now);
  } else if (const auto* stage = std::get_if<RolloutStageRecord>(&change)) {
    this->rollouts->OnStage(*stage, now);
  } else if (const auto* ended = std::get_if<RolloutStageRemoved>(&change)) {
    this->rollouts->OnStageRemoved(ended->service);
  } else if (const auto* report = std::get_if<RolloutReport>(&change)) {
    this->rollouts->OnReport(*report, now);
  } else {
    return false;
  }
  return true;
}

bool StoreFollower::Apply(const StoreItem& item, const PageOrigin& origin) {
  if (!this->held_removals.empty()) {
    this->held_removals.erase(item.key);
  }
  const StoreChange change = this->Decode(item);
  if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
    this->PutInForce(*routes, item, origin);
  } else if (const auto* domain = std::get_if<DomainEvacuation>(&change)) {
    this->targets.SetEvacuated(domain->domain, domain->evacuated);
  } else if (const auto* added = std::get_if<TargetRegistered>(&change)) {
    return this->targets.Upsert(Dated(added->entry, item, origin.epoch));
  } else if (const auto* gone = std::get_if<TargetUnregistered>(&change)) {
    this->targets.Remove(gone->id);
  } else if (const auto* host = std::get_if<HostRegistered>(&change)) {
    this->hosts.Upsert(host->entry);
  } else if (const auto* left = std::get_if<HostUnregistered>(&change)) {
    this->hosts.Remove(left->name, this->clock.Now());
  } else {
    this->ApplyRollout(change);
  }
  return true;
}

void StoreFollower::OnChanges(const StorePage& page, const PageOrigin& origin) {
  const std::uint64_t before = this->mirror.significant_revision();
  for (const StoreItem& item : page.items) {
    // A change from a source that is behind may precede a known removal.
    const bool outdated = page.epoch == this->mirror.version().epoch &&
                          this->mirror.HasNewer(item);
    if (!outdated) {
      this->mirror.Put(item, this->Apply(item, origin));
    }
  }
  this->mirror.Advance(page.revision);
  if (this->mirror.significant_revision() > before) {
    this->mirror_server.OnChange();
  }
}

void StoreFollower::OnSnapshot(const StorePage& page,
                               const PageOrigin& origin) {
  if (page.epoch > this->mirror.version().epoch) {
    this->HoldRemovals(page);
  }
  for (const StoreItem& item : page.items) {
    this->held_removals.erase(item.key);
  }
  std::vector<StoreItem> current = page.items;
  for (const auto& [key, held] : this->held_removals) {
    current.push_back(held.item);
  }
  this->mirror.Reset(page.items, page.version());
  std::set<std::string, std::less<>> evacuated;
  std::vector<TargetEntry> registered_targets;
  std::vector<HostEntry> registered_hosts;
  std::set<std::string, std::less<>> ordered;
  for (const StoreItem& item : current) {
    const StoreChange change = this->Decode(item);
    if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
      this->PutInForce(*routes, item, origin);
    } else if (const auto* domain = std::get_if<DomainEvacuation>(&change)) {
      evacuated.insert(domain->domain);
    } else if (const auto* target = std::get_if<TargetRegistered>(&change)) {
      registered_targets.push_back(Dated(target->entry, item, page.epoch));
    } else if (const auto* host = std::get_if<HostRegistered>(&change)) {
      registered_hosts.push_back(host->entry);
    } else if (this->ApplyRollout(change)) {
      if (const auto* order = std::get_if<RolloutOrder>(&change)) {
        ordered.insert(order->service);
      } else if (const auto* bad = std::get_if<RolloutWithdrawn>(&change)) {
        ordered.insert(bad->service);
      }
    }
  }
  if (this->rollouts != nullptr) {
    this->rollouts->RetainOrders(ordered, this->clock.Now());
  }
  this->targets.ResetEvacuated(evacuated);
  this->hosts.Reset(registered_hosts, this->clock.Now());
  this->targets.Reset(registered_targets);
  this->mirror_server.OnChange();
}

}  // namespace auburnyard
