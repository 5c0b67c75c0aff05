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
                             HostTable& host_table,
                             RelayMetrics& relay_metrics)
    : schema(store_schema),
      service(relay_service),
      clock(context.clock),
      targets(target_table),
      hosts(host_table),
      metrics(relay_metrics) {
  StoreWatch::Hooks hooks;
  hooks.on_snapshot = [this](const std::vector<StoreItem>& items) {
    this->OnSnapshot(items);
  };
  hooks.on_change = [this](const StoreItem& item) { this->Apply(item); };
  hooks.on_regained = [this] { this->targets.OnStoreRegained(); };
  hooks.on_call = [this](std::string_view kind, bool success) {
    this->metrics.CountStoreCall(kind, success);
  };
  this->watch =
      std::make_shared<StoreWatch>(context, wire, store,
                                   /*key_prefix=*/"", seed, std::move(hooks));
}

void StoreFollower::Start() {
  this->watch->Start();
}

void StoreFollower::Stop() {
  this->watch->Stop();
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
  } else if (const auto* host = std::get_if<HostRegistered>(&change)) {
    this->hosts.Upsert(host->entry);
  } else if (const auto* left = std::get_if<HostUnregistered>(&change)) {
    this->hosts.Remove(left->name, this->clock.Now());
  }
}

void StoreFollower::OnSnapshot(const std::vector<StoreItem>& items) {
  std::set<std::string, std::less<>> evacuated;
  std::vector<TargetEntry> registered_targets;
  std::vector<HostEntry> registered_hosts;
  for (const StoreItem& item : items) {
    const StoreChange change = this->Decode(item);
    if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
      this->service.SetRoutes(routes->table);
    } else if (const auto* domain = std::get_if<DomainEvacuation>(&change)) {
      evacuated.insert(domain->domain);
    } else if (const auto* target = std::get_if<TargetRegistered>(&change)) {
      registered_targets.push_back(target->entry);
    } else if (const auto* host = std::get_if<HostRegistered>(&change)) {
      registered_hosts.push_back(host->entry);
    }
  }
  this->targets.ResetEvacuated(evacuated);
  this->hosts.Reset(registered_hosts, this->clock.Now());
  this->targets.Reset(registered_targets);
}

}  // namespace auburnyard
