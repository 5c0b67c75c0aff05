#include "auburnyard/planner.h"

#include <algorithm>
#include <set>

#include "auburnyard/error.h"
#include "src/core/fnv_hash.h"
#include "src/core/plan_conflicts.h"

namespace auburnyard {

namespace {

std::string_view DomainState(const DomainConfig& domain) {
  return domain.in_service ? "in" : "out";
}

std::string_view TargetState(const TargetConfig& target) {
  return target.leaving ? "leaving" : "in";
}

bool Serves(const Configuration& configuration, const TargetConfig& target) {
  return !target.leaving && configuration.domains.at(target.domain).in_service;
}

bool Serves(const Configuration& configuration, std::string_view target) {
  const auto found = configuration.targets.find(target);
  return found != configuration.targets.end() &&
         Serves(configuration, found->second);
}

std::string FormatClassOrder(const ClassOrder& order) {
  std::string text;
  for (const PriorityClass priority : order) {
    text += (text.empty() ? "" : ",") + std::string(ToString(priority));
  }
  return text;
}

void AddChange(Plan& plan,
               const std::string& path,
               std::string_view from,
               std::string_view to) {
  if (from != to) {
    plan.changes.push_back({path, std::string(from), std::string(to)});
  }
}

void AddChanges(const Configuration& before,
                const Configuration& after,
                Plan& plan) {
  for (const auto& [name, domain] : before.domains) {
    AddChange(plan, "domains." + name + ".state", DomainState(domain),
              DomainState(after.domains.at(name)));
  }
  for (const auto& [id, target] : before.targets) {
    const TargetConfig& other = after.targets.at(id);
    AddChange(plan, "targets." + id + ".state", TargetState(target),
              TargetState(other));
    const bool served = Serves(before, target);
    const bool serves = Serves(after, other);
    if (served != serves) {
      plan.moved_targets.push_back(id);
    }
    DomainEffect& effect = plan.domains[target.domain];
    effect.slots_before += served ? target.slots : 0;
    effect.slots_after += serves ? target.slots : 0;
  }
  for (const auto& [name, service] : before.services) {
    AddChange(plan, "services." + name + ".class_order",
              FormatClassOrder(service.class_order),
              FormatClassOrder(after.services.at(name).class_order));
  }
}

std::uint32_t ServingSlots(const Configuration& configuration,
                           const ShardMap& map) {
  std::set<std::string_view> targets;
  for (const Shard& shard : map.shards) {
    targets.insert(shard.targets.begin(), shard.targets.end());
  }
  std::uint32_t slots = 0;
  for (const std::string_view target : targets) {
    if (Serves(configuration, target)) {
      slots += configuration.targets.find(target)->second.slots;
    }
  }
  return slots;
}

std::vector<std::string_view> ServingReplicas(
    const Configuration& configuration,
    const Shard& shard) {
  std::vector<std::string_view> serving;
  for (const std::string& target : shard.targets) {
    if (Serves(configuration, target)) {
      serving.push_back(target);
    }
  }
  return serving;
}

// Share of a shard's work that moves to another replica, if replicas are used
// evenly: the work of replicas that are removed, or the work that added
// replicas take over.
double MovedShare(const std::vector<std::string_view>& before,
                  const std::vector<std::string_view>& after) {
  if (before.empty()) {
    return after.empty() ? 0 : 1;
  }
  double kept = 0;
  for (const std::string_view target : before) {
    if (std::find(after.begin(), after.end(), target) != after.end()) {
      kept += std::min(1.0 / static_cast<double>(before.size()),
                       1.0 / static_cast<double>(after.size()));
    }
  }
  // The sum of the kept shares has rounding errors.
  constexpr double kRoundingTolerance = 1e-9;
  return kept > 1 - kRoundingTolerance ? 0 : 1 - kept;
}

struct KeyCount {
  double total = 0;
  double before = 0;
  double after = 0;
};

ServiceEffect ComputeServiceEffect(const ShardMap& map,
                                   const Configuration& before,
                                   const Configuration& after) {
  ServiceEffect effect;
  effect.slots_before = ServingSlots(before, map);
  effect.slots_after = ServingSlots(after, map);
  KeyCount keys;
  bool first = true;
  for (const Shard& shard : map.shards) {
    const auto replicas_before = ServingReplicas(before, shard);
    const auto replicas_after = ServingReplicas(after, shard);
    const auto size = static_cast<double>(shard.range.size());
    keys.total += size;
    keys.before += replicas_before.empty() ? 0 : size;
    keys.after += replicas_after.empty() ? 0 : size;
    if (replicas_after.empty()) {
      effect.shards_lost.push_back(shard.id);
    }
    // Every query goes to every shard, so shards have equal weight.
    effect.moved_share += MovedShare(replicas_before, replicas_after) /
                          static_cast<double>(map.shards.size());
    const auto minimum = [first](std::size_t current, std::size_t count) {
      return first ? count : std::min(current, count);
    };
    effect.fewest_replicas_before =
        minimum(effect.fewest_replicas_before, replicas_before.size());
    effect.fewest_replicas_after =
        minimum(effect.fewest_replicas_after, replicas_after.size());
    first = false;
  }
  if (keys.total > 0) {
    effect.coverage_before = keys.before / keys.total;
    effect.coverage_after = keys.after / keys.total;
  }
  return effect;
}

// Assigns the remaining slots to the classes in order of precedence; work above
// them is shed.
void ForecastShedding(const ClassOrder& order,
                      const ServiceLoad* load,
                      ServiceEffect& effect) {
  effect.load_known = load != nullptr;
  ServiceLoad offered{};
  if (load != nullptr) {
    offered = *load;
  } else {
    offered.at(static_cast<std::size_t>(order.back())) = effect.slots_before;
  }
  double remaining = effect.slots_after;
  for (const PriorityClass priority : order) {
    const double requested = offered.at(static_cast<std::size_t>(priority));
    const double served = std::min(requested, remaining);
    remaining -= served;
    if (requested > served) {
      effect.shed.push_back({priority, (requested - served) / requested});
    }
  }
}

void AddServices(const PlannerInput& input,
                 const Configuration& after,
                 Plan& plan) {
  for (const auto& [name, service] : after.services) {
    const auto map = input.catalogs.find(name);
    if (map == input.catalogs.end() || !map->second) {
      continue;
    }
    ServiceEffect effect =
        ComputeServiceEffect(*map->second, *input.configuration, after);
    const auto load = input.load.find(name);
    ForecastShedding(service.class_order,
                     load == input.load.end() ? nullptr : &load->second,
                     effect);
    plan.services.emplace(name, std::move(effect));
  }
  for (const auto& [name, effect] : plan.services) {
    plan.moved_share +=
        effect.moved_share / static_cast<double>(plan.services.size());
  }
}

}  // namespace

std::string ComputePlanId(std::uint64_t base_revision, const Intent& intent) {
  const std::string hashed = std::to_string(base_revision) + "\n" +
                             std::to_string(ContentHash(intent));
  return FormatPlanId({.intent = intent.id,
                       .base_revision = base_revision,
                       .hash = detail::FnvHash(hashed)});
}

Configuration ApplyIntent(const Configuration& configuration,
                          const Intent& intent) {
  CheckNames(configuration, intent);
  Configuration changed = configuration;
  for (const auto& [name, action] : intent.domains) {
    if (action != DomainAction::kServe) {
      changed.domains.at(name).in_service = action == DomainAction::kBringBack;
    }
  }
  for (const auto& [id, action] : intent.targets) {
    changed.targets.at(id).leaving = action == TargetAction::kLeave;
  }
  if (intent.class_order) {
    for (auto& [name, service] : changed.services) {
      if (intent.services.empty() ||
          std::binary_search(intent.services.begin(), intent.services.end(),
                             name)) {
        service.class_order = *intent.class_order;
      }
    }
  }
  return changed;
}

Plan ComputePlan(const PlannerInput& input, const Intent& intent) {
  const Configuration& before = *input.configuration;
  const Configuration after = ApplyIntent(before, intent);
  Plan plan;
  plan.id = ComputePlanId(before.revision, intent);
  plan.intent = intent.id;
  plan.base_revision = before.revision;
  AddChanges(before, after, plan);
  AddServices(input, after, plan);
  plan.conflicts = detail::FindConflicts(before, intent);
  return plan;
}

}  // namespace auburnyard
