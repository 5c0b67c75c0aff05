#ifndef AUBURNYARD_PLAN_H_
#define AUBURNYARD_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "auburnyard/configuration.h"

namespace auburnyard {

/// Change to one member of the configuration.
struct PlanChange {
  std::string path;
  std::string from;
  std::string to;
};

/// Forecast share of a class's work that exceeds the remaining slots.
struct ShedForecast {
  PriorityClass priority = PriorityClass::kArchive;
  double share = 0;  ///< of the class's offered work
};

/// Effect of a plan on one service.
struct ServiceEffect {
  std::uint32_t slots_before =
      0;  ///< slots of its targets that serve; a target
          ///< of several services counts in each
  std::uint32_t slots_after = 0;
  std::size_t fewest_replicas_before = 0;  ///< minimum over the shards
  std::size_t fewest_replicas_after = 0;
  double coverage_before = 0;  ///< share of keys with a serving replica
  double coverage_after = 0;
  double moved_share = 0;  ///< of its sub-requests, if replicas are used evenly
  std::vector<std::string> shards_lost;  ///< without a serving replica after it
  bool load_known = false;  ///< false: `shed` assumes that every slot is in use
  std::vector<ShedForecast> shed;
};

struct DomainEffect {
  std::uint32_t slots_before = 0;
  std::uint32_t slots_after = 0;
};

/// Contradiction with another intent or with the configuration.
struct PlanConflict {
  std::string intent;  ///< empty: the configuration itself
  std::string detail;
  bool confirmed = false;  ///< the other intent is in force
};

/// Effects of confirming an intent. Computed, never stored.
struct Plan {
  std::string id;
  std::string intent;
  std::uint64_t base_revision = 0;
  std::vector<PlanChange> changes;
  std::vector<std::string> moved_targets;
  double moved_share = 0;  ///< mean of the services
  std::map<std::string, ServiceEffect, std::less<>> services;
  std::map<std::string, DomainEffect, std::less<>> domains;
  std::vector<PlanConflict> conflicts;
};

boost::json::object ToJson(const Plan& plan);

/// Parts of a plan identifier, `<intent>:<base revision>:<hash>`.
struct PlanId {
  std::string intent;
  std::uint64_t base_revision = 0;
  std::uint64_t hash = 0;
};

std::string FormatPlanId(const PlanId& id);
/// Throws Error(kBadRequest).
PlanId ParsePlanId(std::string_view text);

}  // namespace auburnyard

#endif  // AUBURNYARD_PLAN_H_
