#include "src/relay/store_follower.h"

#include <set>
#include <utility>

#include "src/net/log.h"

namespace auburnyard {

StoreFollower::StoreFollower(const RelayContext& context,
                             const StoreWire& wire,
                             const StoreSchema& store_schema,
                             const HostPort& store,
                             std::uint64_t seed,
                             RelayService& relay_service,
                             TargetTable& target_table,
                             RelayMetrics& relay_metrics)
    : schema(store_schema),
      service(relay_service),
      targets(target_table),
      metrics(relay_metrics) {
  StoreWatch::Hooks for_operator = this->CommonHooks();
  for_operator.on_snapshot = [this](const std::vector<StoreItem>& items) {
    this->OnOperatorSnapshot(items);
  };
  this->operator_watch = std::make_shared<StoreWatch>(
      context, wire, store, this->schema.operator_prefix, seed,
      std::move(for_operator));
  StoreWatch::Hooks for_targets = this->CommonHooks();
  for_targets.on_snapshot = [this](const std::vector<StoreItem>& items) {
    this->OnTargetSnapshot(items);
  };
  for_targets.on_regained = [this] { this->targets.OnStoreRegained(); };
  this->target_watch = std::make_shared<StoreWatch>(
      context, wire, store, this->schema.target_prefix, seed + 1,
      std::move(for_targets));
}

StoreWatch::Hooks StoreFollower::CommonHooks() {
  StoreWatch::Hooks hooks;
  hooks.on_change = [this](const StoreItem& item) { this->Apply(item); };
  hooks.on_lost = [] {};
  hooks.on_regained = [] {};
  hooks.on_call = [this](std::string_view kind, bool success) {
    this->metrics.CountStoreCall(kind, success);
  };
  return hooks;
}

void StoreFollower::Start() {
  this->operator_watch->Start();
  this->target_watch->Start();
}

void StoreFollower::Stop() {
  this->operator_watch->Stop();
  this->target_watch->Stop();
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
    // A registration that cannot be read names no target to use.
    if (item.key.starts_with(this->schema.target_prefix)) {
      return TargetUnregistered{this->schema.target_id(item)};
    }
    return UnrelatedKey();
  }
}

void StoreFollower::Apply(const StoreItem& item) {
  const StoreChange change = this->Decode(item);
  if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
    this->service.SetRoutes(routes->table);
  } else if (const auto* domain = std::get_if<DomainEvacuation>(&change)) {
    this->targets.SetEvacuated(domain->domain, domain->evacuated);
  } else if (const auto* added = std::get_if<TargetRegistered>(&change)) {
    this->targets.Upsert(added->entry);
  } else if (const auto* gone = std::get_if<TargetUnregistered>(&change)) {
    this->targets.Remove(gone->id);
  }
}

void StoreFollower::OnOperatorSnapshot(const std::vector<StoreItem>& items) {
  std::set<std::string, std::less<>> evacuated;
  for (const StoreItem& item : items) {
    const StoreChange change = this->Decode(item);
    if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
      this->service.SetRoutes(routes->table);
    } else if (const auto* domain = std::get_if<DomainEvacuation>(&change)) {
      evacuated.insert(domain->domain);
    }
  }
  this->targets.ResetEvacuated(evacuated);
}

void StoreFollower::OnTargetSnapshot(const std::vector<StoreItem>& items) {
  std::vector<TargetEntry> entries;
  for (const StoreItem& item : items) {
    const StoreChange change = this->Decode(item);
    if (const auto* added = std::get_if<TargetRegistered>(&change)) {
      entries.push_back(added->entry);
    }
  }
  this->targets.Reset(entries);
}

}  // namespace auburnyard
