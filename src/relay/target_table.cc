#include "src/relay/target_table.h"

#include <algorithm>
#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Registrations that lapsed during an outage of the store return within about
// two seconds of its end.
constexpr milliseconds kLapseGracePeriod{2'500};
constexpr milliseconds kPreconnectInterval{500};
// Share of a target's connection limit that all hosts together use.
constexpr double kConnectionShare = 0.8;
// Number of hosts assumed before the registrations of other hosts have been
// read.
constexpr std::size_t kMinHosts = 6;
constexpr std::size_t kMaxTargetConnections = 8;
// A countdown that arrives late may differ by this much without being a
// significant change.
constexpr milliseconds kWarmUpTolerance{800};

// Whether a registration differs in more than the place of the report in the
// order of reports and its countdown.
bool DiffersBeyondCountdown(TargetEntry known, const TargetEntry& changed) {
  known.sequence = changed.sequence;
  known.store_epoch = changed.store_epoch;
  known.store_revision = changed.store_revision;
  known.remaining_warm_up = changed.remaining_warm_up;
  return known != changed;
}

}  // namespace

TargetTable::TargetTable(const RelayContext& relay_context,
                         Location host_location,
                         DomainRegions domain_regions,
                         const HostTable& host_table,
                         ColdLimits limits_when_cold)
    : context(relay_context),
      own_location(std::move(host_location)),
      regions(std::move(domain_regions)),
      hosts(host_table),
      cold_limits(std::move(limits_when_cold)) {}

std::string_view TargetTable::RegionOf(std::string_view domain) const {
  const auto found = this->regions.find(domain);
  return found == this->regions.end() ? std::string_view() : found->second;
}

Distance TargetTable::DistanceOf(std::string_view domain) const {
  if (domain == this->own_location.domain) {
    return Distance::kSameDomain;
  }
  return this->RegionOf(domain) == this->own_location.region
             ? Distance::kSameRegion
             : Distance::kOtherRegion;
}

bool TargetTable::Upsert(const TargetEntry& entry) {
  const auto found = this->pools.find(entry.id);
  if (found == this->pools.end()) {
    this->Add(entry);
    return true;
  }
  TargetState& state = *found->second->target();
  const TargetEntry known = state.entry();
  const ReportKind kind = this->reports.Classify(known, entry);
  if (kind == ReportKind::kOutdated) {
    LogEvent(spdlog::level::info, "target_report_outdated",
             {{"target", entry.id},
              {"sequence", entry.sequence},
              {"started_at_ms", entry.started_at_ms},
              {"revision", entry.store_revision}});
    return false;
  }
  const bool returned = this->deferred_removals.erase(entry.id) > 0;
  if (kind == ReportKind::kRestart) {
    this->Restart(known, entry);
    return true;
  }
  if (entry.draining != known.draining) {
    LogEvent(spdlog::level::info, "target_changed",
             {{"target", entry.id}, {"draining", entry.draining}});
  }
  const TimePoint now = this->context.clock.Now();
  const TimePoint cold_until = now + entry.remaining_warm_up;
  const Duration shift = cold_until - std::max(state.cold_until(), now);
  const bool significant = returned || DiffersBeyondCountdown(known, entry) ||
                           std::chrono::abs(shift) > kWarmUpTolerance;
  const bool was_cold = state.Cold(now);
  state.SetEntry(entry);
  if (entry.draining != known.draining || entry.version != known.version) {
    this->UpdateVersions(entry.service);
  }
  if (entry.remaining_warm_up > milliseconds(0)) {
    state.SetColdUntil(cold_until);
  }
  const PoolPtr pool = found->second;
  this->UpdateAdmission(*pool);
  if (!was_cold && state.Cold(now)) {
    this->OnCold(*pool);
  }
  return significant;
}

// An announcement of an earlier start with the same time says nothing about
// this one.
void TargetTable::Restart(const TargetEntry& known, const TargetEntry& entry) {
  this->Discard(entry.id);
  this->reports.OnRestart(known.Incarnation(), entry.Incarnation(),
                          this->context.clock.Now());
  this->leaving.Forget(entry.Incarnation());
  this->Add(entry);
}

void TargetTable::Add(const TargetEntry& entry) {
  auto state = std::make_shared<TargetState>(
      entry, this->DistanceOf(entry.failure_domain));
  if (entry.remaining_warm_up > milliseconds(0)) {
    state->SetColdUntil(this->context.clock.Now() + entry.remaining_warm_up);
  }
  const TargetIncarnation incarnation = entry.Incarnation();
  if (this->leaving.Contains(incarnation)) {
    this->leaving.Retain(incarnation);
    state->SetLeaving();
  }
  TargetPool::Hooks hooks;
  hooks.on_wrong_target = [this](const TargetPtr& target) {
    // Only for the current pool: a retired one may still receive such replies.
    const auto found = this->pools.find(target->entry().id);
    if (found != this->pools.end() && found->second->target() == target) {
      LogEvent(spdlog::level::warn, "target_address_reused",
               {{"target", target->entry().id}});
      this->Discard(std::string(target->entry().id));
    }
  };
  hooks.on_cold = [this](const TargetPtr& target) {
    const auto found = this->pools.find(target->entry().id);
    if (found != this->pools.end() && found->second->target() == target) {
      this->OnCold(*found->second);
    }
  };
  hooks.on_leaving = [this](const TargetPtr& target,
                            std::string_view request_id) {
    if (!target->leaving()) {
      this->OnLeaving(target->entry().Incarnation(), request_id);
    }
  };
  hooks.on_unreadable = [this](const TargetPtr& target,
                               std::string_view request_id,
                               std::string_view fault) {
    if (this->on_unreadable) {
      this->on_unreadable(target, request_id, fault);
    }
  };
  hooks.on_sent = [this](const TargetPtr& target) {
    if (this->rollouts != nullptr) {
      this->rollouts->OnSent(target->entry().service);
    }
  };
  hooks.on_answer = [this](const TargetPtr& target, std::string_view kind,
                           bool success, Duration latency) {
    this->RecordAnswer(*target, kind, success, latency);
  };
  auto pool =
      std::make_shared<TargetPool>(this->context, state, std::move(hooks));
  this->ApplyLimits(*pool);
  this->UpdateAdmission(*pool);
  this->pools[entry.id] = pool;
  this->by_service[entry.service].push_back(state);
  this->UpdateVersions(entry.service);
  if (!this->resetting) {
    LogAdded(entry);
  }
}

void TargetTable::OnLeaving(const TargetIncarnation& incarnation,
                            std::string_view request_id) {
  if (!this->leaving.Add(incarnation, this->context.clock.Now())) {
    return;
  }
  LogEvent(spdlog::level::info, "target_leaving",
           {{"target", incarnation.id},
            {"started_at_ms", incarnation.started_at_ms},
            {"request", request_id}});
  if (this->on_leaving) {
    this->on_leaving();
  }
  const auto found = this->pools.find(incarnation.id);
  if (found == this->pools.end() ||
      found->second->target()->entry().Incarnation() != incarnation) {
    return;  // an answer of an earlier incarnation
  }
  const PoolPtr pool = found->second;
  this->leaving.Retain(incarnation);
  pool->target()->SetLeaving();
  this->UpdateVersions(pool->target()->entry().service);
  this->UpdateAdmission(*pool);
}

void TargetTable::OnLeavingReport(std::span<const TargetIncarnation> reported) {
  for (const TargetIncarnation& incarnation : reported) {
    const auto found = this->pools.find(incarnation.id);
    if (found == this->pools.end()) {
      continue;
    }
    const TargetEntry& entry = found->second->target()->entry();
    if (entry.started_at_ms == incarnation.started_at_ms) {
      this->OnLeaving(entry.Incarnation(), /*request_id=*/"");
    }
  }
}

std::vector<TargetIncarnation> TargetTable::LeavingTargetsOf(
    std::span<const std::string> services) const {
  std::vector<TargetIncarnation> found;
  if (this->leaving.empty()) {
    return found;
  }
  for (const std::string& service : services) {
    const auto list = this->by_service.find(service);
    if (list == this->by_service.end()) {
      continue;
    }
    for (const TargetPtr& target : list->second) {
      if (target->leaving()) {
        found.push_back(target->entry().Incarnation());
      }
    }
  }
  return found;
}

void TargetTable::LogAdded(const TargetEntry& entry) {
  LogEvent(spdlog::level::info, "target_added",
           {{"target", entry.id},
            {"service", entry.service},
            {"domain", entry.failure_domain},
            {"warm_up_left_ms", entry.remaining_warm_up.count()}});
}

void TargetTable::Discard(std::string_view id) {
  const auto found = this->pools.find(id);
  if (found == this->pools.end()) {
    return;
  }
  const PoolPtr pool = found->second;
  const std::string service = pool->target()->entry().service;
  auto list = this->by_service.find(service);
  std::erase(list->second, pool->target());
  if (list->second.empty()) {
    this->by_service.erase(list);
  }
  this->cold_rates.erase(pool->target()->entry().id);
  this->leaving.Release(pool->target()->entry().Incarnation(),
                        this->context.clock.Now());
  this->pools.erase(found);
  this->retired.push_back(pool);
  pool->Retire();
  this->UpdateVersions(service);
}

void TargetTable::Remove(std::string_view id) {
  const TimePoint now = this->context.clock.Now();
  if (now < this->defer_removals_until) {
    this->deferred_removals.emplace(std::string(id),
                                    this->defer_removals_until);
    return;
  }
  LogEvent(spdlog::level::info, "target_removed", {{"target", id}});
  this->Discard(std::string(id));
}

// Logs one line for all targets: a host that starts would otherwise write
// hundreds of lines before it serves its first request.
void TargetTable::Reset(const std::vector<TargetEntry>& entries) {
  std::set<std::string_view> present;
  const std::size_t known = this->pools.size();
  this->resetting = true;
  for (const TargetEntry& entry : entries) {
    present.insert(entry.id);
    this->Upsert(entry);
  }
  this->resetting = false;
  LogEvent(spdlog::level::info, "targets_read",
           {{"targets", entries.size()}, {"known_before", known}});
  std::vector<std::string> gone;
  for (const auto& [id, pool] : this->pools) {
    if (!present.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    this->Remove(id);
  }
}

void TargetTable::DeferRemovals() {
  this->defer_removals_until = this->context.clock.Now() + kLapseGracePeriod;
}

void TargetTable::SetEvacuated(std::string_view domain, bool is_evacuated) {
  LogEvent(spdlog::level::info, "domain_evacuation",
           {{"domain", domain}, {"evacuated", is_evacuated}});
  if (is_evacuated) {
    this->evacuated.emplace(domain);
  } else {
    this->evacuated.erase(std::string(domain));
  }
  this->UpdateAdmissions();
}

void TargetTable::ResetEvacuated(
    const std::set<std::string, std::less<>>& domains) {
  this->evacuated = domains;
  this->UpdateAdmissions();
}

void TargetTable::SetRollouts(RolloutTable& table,
                              std::function<bool()> has_contact) {
  this->rollouts = &table;
  this->in_contact = std::move(has_contact);
}

const VersionRoles& TargetTable::RolesOf(std::string_view service) const {
  static const VersionRoles kAlike;
  const auto found = this->roles.find(service);
  return found == this->roles.end() ? kAlike : found->second;
}

void TargetTable::UpdateVersions(std::string_view service) {
  if (this->rollouts == nullptr || !this->rollouts->enabled()) {
    return;
  }
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    this->roles.erase(std::string(service));
    return;
  }
  std::vector<TargetVersion> versions;
  versions.reserve(found->second.size());
  for (const TargetPtr& target : found->second) {
    const TargetEntry& entry = target->entry();
    versions.push_back({.version = entry.version,
                        .started_at_ms = entry.started_at_ms,
                        .draining = entry.draining || target->leaving()});
  }
  this->roles[std::string(service)] =
      VersionRoles(this->rollouts->PolicyOf(service), versions);
  const std::vector<TargetPtr> targets = found->second;
  for (const TargetPtr& target : targets) {
    const auto pool = this->pools.find(target->entry().id);
    if (pool != this->pools.end()) {
      this->UpdateAdmission(*pool->second);
    }
  }
}

RolloutTargets TargetTable::TargetsOf(std::string_view service) const {
  const VersionRoles& versions = this->RolesOf(service);
  return {.has_new = versions.has_new(), .has_old = versions.has_old()};
}

// The network is not part of the time at the target, and a cold target is
// slower than it will be.
void TargetTable::RecordAnswer(const TargetState& target,
                               std::string_view kind,
                               bool success,
                               Duration latency) {
  const TargetEntry& entry = target.entry();
  KindEvidence* evidence =
      this->rollouts == nullptr
          ? nullptr
          : this->rollouts->EvidenceOf(entry.service, kind);
  const VersionRole role = this->RolesOf(entry.service).RoleOf(entry.version);
  VersionEvidence* counted = nullptr;
  if (evidence != nullptr && role != VersionRole::kHeldBack) {
    counted = role == VersionRole::kNew ? &evidence->new_version
                                        : &evidence->old_version;
  } else if (evidence == nullptr && this->rollouts != nullptr) {
    counted = this->rollouts->HistoryOf(entry.service, kind);
  }
  if (counted == nullptr) {
    return;
  }
  VersionEvidence& version = *counted;
  if (!success) {
    version.AddFailure();
  } else if (target.Cold(this->context.clock.Now())) {
    version.AddUntimedReply();
  } else {
    version.AddReply(latency - std::min(latency, target.RoundTrip()));
  }
}

// A request is bound to a target when it is placed, but may wait for a
// connection for seconds. Requests that have to leave are placed again.
void TargetTable::UpdateAdmission(TargetPool& pool) const {
  pool.SetAdmitting(this->MayReceive(*pool.target(), {}));
}

void TargetTable::UpdateAdmissions() const {
  for (const auto& [id, pool] : this->pools) {
    this->UpdateAdmission(*pool);
  }
}

void TargetTable::SetRoutes(std::shared_ptr<const RouteTable> table) {
  this->routes = std::move(table);
  this->UpdateConnectionShare();
  for (const auto& [id, pool] : this->pools) {
    this->ApplyLimits(*pool);
  }
}

double TargetTable::ConnectionShare(std::string_view service) const {
  const ServiceLimits* limits =
      this->routes == nullptr ? nullptr : this->routes->Service(service);
  if (limits == nullptr) {
    return 0;
  }
  return limits->max_connections * this->connection_share;
}

// A host that reaches targets through other hosts opens connections only if
// those fail, and none in advance.
void TargetTable::UpdateConnectionShare() {
  const std::size_t sharing = std::max(
      kMinHosts, this->hosts.SharingHostCount(this->context.clock.Now()));
  this->connection_share =
      this->hosts.ConnectsToTargets(this->cold_limits.host_name,
                                    this->own_location.domain)
          ? kConnectionShare / static_cast<double>(sharing)
          : 0;
}

void TargetTable::ApplyLimits(TargetPool& pool) const {
  const double share = this->ConnectionShare(pool.target()->entry().service);
  pool.SetConnectionLimit(std::clamp<std::size_t>(
      static_cast<std::size_t>(share), 1, kMaxTargetConnections));
}

TargetAccess TargetTable::AccessTo(
    const TargetState& target,
    std::span<const std::string> allowed_regions) const {
  const TargetEntry& entry = target.entry();
  return DecideAccess(
      {.draining = entry.draining,
       .leaving = target.leaving(),
       .domain_evacuated = this->evacuated.contains(entry.failure_domain),
       .version_in_use = this->RolesOf(entry.service).MayReceive(entry.version),
       .region_allowed =
           allowed_regions.empty() ||
           std::find(allowed_regions.begin(), allowed_regions.end(),
                     this->RegionOf(entry.failure_domain)) !=
               allowed_regions.end()});
}

TargetPtr TargetTable::FindBest(std::string_view service,
                                std::span<const std::string> allowed_regions,
                                std::span<const TargetPtr> excluded,
                                const PlacementNeeds& needs,
                                std::optional<VersionRole> role) const {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return nullptr;
  }
  const TimePoint now = this->context.clock.Now();
  const VersionRoles& versions = this->RolesOf(service);
  TargetPtr best;
  Duration best_cost{};
  for (const TargetPtr& target : found->second) {
    if (std::find(excluded.begin(), excluded.end(), target) != excluded.end() ||
        !this->MayReceive(*target, allowed_regions) ||
        (role && versions.RoleOf(target->entry().version) != *role)) {
      continue;
    }
    const Duration cost = PlacementCost(*target, needs, now);
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

TargetPtr TargetTable::Choose(std::string_view service,
                              std::span<const std::string> allowed_regions,
                              std::span<const TargetPtr> tried,
                              const PlacementNeeds& needs) {
  if (this->RolesOf(service).use() != VersionUse::kCanary) {
    return this->ChooseAmong(service, allowed_regions, tried, needs, {});
  }
  // Repeats go to the old version, so that a caller does not lose both attempts
  // to a bad one.
  TargetPtr canary;
  if (tried.empty()) {
    canary = this->ChooseCanary(service, allowed_regions, needs);
  }
  return canary != nullptr ? canary
                           : this->ChooseAmong(service, allowed_regions, tried,
                                               needs, VersionRole::kOld);
}

bool TargetTable::IsUsedByAll(std::string_view service) const {
  if (this->routes == nullptr) {
    return false;
  }
  for (const auto& [host, list] : this->routes->by_host()) {
    for (const Route& route : list) {
      if (std::find(route.shards.begin(), route.shards.end(), service) !=
          route.shards.end()) {
        return false;
      }
    }
  }
  return true;
}

TargetPtr TargetTable::ChooseCanary(
    std::string_view service,
    std::span<const std::string> allowed_regions,
    const PlacementNeeds& needs) {
  if (this->FindBest(service, allowed_regions, {}, needs, VersionRole::kNew) ==
          nullptr ||
      !this->rollouts->TakeExposure(service, this->context.clock.Now(),
                                    this->in_contact(),
                                    this->IsUsedByAll(service))) {
    return nullptr;
  }
  TargetPtr chosen =
      this->ChooseAmong(service, allowed_regions, {}, needs, VersionRole::kNew);
  if (chosen == nullptr) {
    this->rollouts->GiveBackExposure(service);
  }
  return chosen;
}

TargetPtr TargetTable::ChooseAmong(std::string_view service,
                                   std::span<const std::string> allowed_regions,
                                   std::span<const TargetPtr> tried,
                                   const PlacementNeeds& needs,
                                   std::optional<VersionRole> role) {
  TargetPtr best = this->FindBest(service, allowed_regions, tried, needs, role);
  if (best == nullptr || this->TryAcquireColdRequest(*best)) {
    return best;
  }
  std::vector<TargetPtr> excluded(tried.begin(), tried.end());
  while (best != nullptr && !this->TryAcquireColdRequest(*best)) {
    excluded.push_back(best);
    best = this->FindBest(service, allowed_regions, excluded, needs, role);
  }
  return best;
}

DomainCosts TargetTable::Costs(std::string_view service,
                               const PlacementNeeds& needs) const {
  DomainCosts costs;
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return costs;
  }
  const TimePoint now = this->context.clock.Now();
  const VersionRoles& versions = this->RolesOf(service);
  for (const TargetPtr& target : found->second) {
    // Few requests go to a version that is not proved good, so that it does not
    // decide which host fetches a part.
    const bool canary =
        versions.use() == VersionUse::kCanary &&
        versions.RoleOf(target->entry().version) == VersionRole::kNew;
    if (!canary && this->MayReceive(*target, {})) {
      const Duration cost = PlacementCost(*target, needs, now);
      const auto entry =
          costs.emplace(target->entry().failure_domain, cost).first;
      entry->second = std::min(entry->second, cost);
    }
  }
  return costs;
}

std::optional<TargetLoad> TargetTable::BestLoad(
    std::string_view service) const {
  std::optional<TargetLoad> best;
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return best;
  }
  const TimePoint now = this->context.clock.Now();
  for (const TargetPtr& target : found->second) {
    if (!this->MayReceive(*target, {}) || target->Avoided(now)) {
      continue;
    }
    const TargetLoad load = target->Load(now);
    if (!best || load.Rank() < best->Rank()) {
      best = load;
    }
  }
  return best;
}

bool TargetTable::ReportsSpeed(std::string_view service) const {
  const auto found = this->by_service.find(service);
  return found != this->by_service.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [](const TargetPtr& target) { return target->ReportsSpeed(); });
}

double TargetTable::ColdRate(const TargetState& target) const {
  const ServiceLimits* limits =
      this->routes == nullptr ? nullptr
                              : this->routes->Service(target.entry().service);
  if (limits == nullptr || limits->warm_up_requests_per_second <= 0) {
    return 0;
  }
  return limits->warm_up_requests_per_second * this->cold_limits.rate_factor +
         this->cold_limits.rate_margin;
}

// Requests that wait were placed while the target was warm, and so were not
// counted by its cold rate.
void TargetTable::OnCold(TargetPool& pool) const {
  if (this->ColdRate(*pool.target()) > 0) {
    pool.ReturnWaiting();
  }
}

// Returns true if the target is warm, or if its cold rate admits one more
// request of this host now.
bool TargetTable::TryAcquireColdRequest(const TargetState& target) {
  const TimePoint now = this->context.clock.Now();
  const double allowed = this->ColdRate(target);
  if (!target.Cold(now) || allowed <= 0) {
    return true;
  }
  const std::string& id = target.entry().id;
  const std::size_t sharing = this->hosts.SharingHostCount(now);
  const std::size_t rank =
      this->hosts.Rank(this->cold_limits.host_name, id, now);
  return rank < sharing &&
         this->cold_rates[id].Take(now, allowed, sharing, rank);
}

std::shared_ptr<TargetPool> TargetTable::PoolOf(const TargetPtr& target) const {
  return this->pools.at(target->entry().id);
}

std::size_t TargetTable::Replicas(std::string_view service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? 0 : found->second.size();
}

void TargetTable::Sweep() {
  const TimePoint now = this->context.clock.Now();
  for (auto it = this->deferred_removals.begin();
       it != this->deferred_removals.end();) {
    if (it->second <= now) {
      const std::string id = it->first;
      it = this->deferred_removals.erase(it);
      LogEvent(spdlog::level::info, "target_lapsed", {{"target", id}});
      this->Discard(id);
    } else {
      ++it;
    }
  }
  const bool preconnect = now >= this->next_preconnect;
  if (preconnect) {
    this->reports.Expire(this->context.clock.Now());
    this->leaving.Expire(now);
    this->next_preconnect = now + kPreconnectInterval;
    this->UpdateConnectionShare();
  }
  for (const auto& [id, pool] : this->pools) {
    pool->Sweep();
    if (preconnect) {
      this->ApplyLimits(*pool);
      if (this->MayReceive(*pool->target(), {}) &&
          this->ConnectionShare(pool->target()->entry().service) >= 1) {
        pool->Preconnect(pool->connections() == 0 ? 1 : 0);
      }
    }
  }
  for (const PoolPtr& pool : this->retired) {
    pool->Sweep();
  }
  std::erase_if(this->retired, [](const PoolPtr& pool) {
    return pool->connections() == 0 && pool.use_count() == 1;
  });
}

}  // namespace auburnyard
