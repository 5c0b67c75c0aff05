#include "src/core/plan_conflicts.h"

#include <algorithm>

namespace auburnyard::detail {

namespace {

bool TakesOut(DomainAction action) {
  return action == DomainAction::kTakeOut;
}

bool ServicesOverlap(const Intent& a, const Intent& b) {
  if (a.services.empty() || b.services.empty()) {
    return true;
  }
  return std::any_of(a.services.begin(), a.services.end(),
                     [&b](const std::string& service) {
                       return std::binary_search(b.services.begin(),
                                                 b.services.end(), service);
                     });
}

void AddConflictsWith(const Intent& intent,
                      const Intent& other,
                      std::vector<PlanConflict>& conflicts) {
  const bool confirmed = other.confirmation.has_value();
  for (const auto& [name, action] : intent.domains) {
    const auto found = other.domains.find(name);
    if (found != other.domains.end() &&
        TakesOut(found->second) != TakesOut(action)) {
      conflicts.push_back({other.id,
                           "domains." + name + ": the other intent states \"" +
                               std::string(ToString(found->second)) + "\"",
                           confirmed});
    }
  }
  for (const auto& [id, action] : intent.targets) {
    const auto found = other.targets.find(id);
    if (found != other.targets.end() && found->second != action) {
      conflicts.push_back({other.id,
                           "targets." + id + ": the other intent states \"" +
                               std::string(ToString(found->second)) + "\"",
                           confirmed});
    }
  }
  if (intent.class_order && other.class_order &&
      *intent.class_order != *other.class_order &&
      ServicesOverlap(intent, other)) {
    conflicts.push_back(
        {other.id, "class_order: the other intent states a different order",
         confirmed});
  }
}

}  // namespace

std::vector<PlanConflict> FindConflicts(const Configuration& configuration,
                                        const Intent& intent) {
  std::vector<PlanConflict> conflicts;
  for (const auto& [name, action] : intent.domains) {
    if (action == DomainAction::kServe &&
        !configuration.domains.at(name).in_service) {
      conflicts.push_back(
          {"", "domains." + name + ": is out; \"serve\" does not bring it back",
           true});
    }
  }
  for (const Intent& other : ListIntents(configuration)) {
    if (other.id != intent.id) {
      AddConflictsWith(intent, other, conflicts);
    }
  }
  return conflicts;
}

}  // namespace auburnyard::detail
