#include "auburnyard/plan.h"

#include <array>
#include <charconv>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

boost::json::object ToJson(const ServiceEffect& effect) {
  boost::json::array shed;
  for (const ShedForecast& forecast : effect.shed) {
    shed.push_back(
        {{"class", ToString(forecast.priority)}, {"share", forecast.share}});
  }
  return {{"slots_before", effect.slots_before},
          {"slots_after", effect.slots_after},
          {"fewest_replicas_before", effect.fewest_replicas_before},
          {"fewest_replicas_after", effect.fewest_replicas_after},
          {"coverage_before", effect.coverage_before},
          {"coverage_after", effect.coverage_after},
          {"moved_share", effect.moved_share},
          {"shards_lost", boost::json::array(effect.shards_lost.begin(),
                                             effect.shards_lost.end())},
          {"load_known", effect.load_known},
          {"shed", std::move(shed)}};
}

boost::json::array ToJson(const std::vector<PlanChange>& changes) {
  boost::json::array list;
  for (const PlanChange& change : changes) {
    list.push_back(
        {{"path", change.path}, {"from", change.from}, {"to", change.to}});
  }
  return list;
}

boost::json::array ToJson(const std::vector<PlanConflict>& conflicts) {
  boost::json::array list;
  for (const PlanConflict& conflict : conflicts) {
    list.push_back({{"intent", conflict.intent},
                    {"detail", conflict.detail},
                    {"confirmed", conflict.confirmed}});
  }
  return list;
}

template <typename Number>
bool ParseNumber(std::string_view text, int base, Number& number) {
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number, base);
  return error == std::errc() && last == end && !text.empty();
}

constexpr int kHex = 16;
constexpr int kDecimal = 10;

}  // namespace

boost::json::object ToJson(const Plan& plan) {
  boost::json::object services;
  for (const auto& [name, effect] : plan.services) {
    services[name] = ToJson(effect);
  }
  boost::json::object domains;
  for (const auto& [name, effect] : plan.domains) {
    domains[name] = {{"slots_before", effect.slots_before},
                     {"slots_after", effect.slots_after}};
  }
  return {{"id", plan.id},
          {"intent", plan.intent},
          {"base_revision", plan.base_revision},
          {"changes", ToJson(plan.changes)},
          {"moved_targets", boost::json::array(plan.moved_targets.begin(),
                                               plan.moved_targets.end())},
          {"moved_share", plan.moved_share},
          {"services", std::move(services)},
          {"domains", std::move(domains)},
          {"conflicts", ToJson(plan.conflicts)}};
}

std::string FormatPlanId(const PlanId& id) {
  std::array<char, sizeof(std::uint64_t) * 2> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), id.hash, kHex);
  return id.intent + ":" + std::to_string(id.base_revision) + ":" +
         std::string(digits.data(), end);
}

PlanId ParsePlanId(std::string_view text) {
  const std::size_t last = text.rfind(':');
  const std::size_t middle = last == std::string_view::npos || last == 0
                                 ? std::string_view::npos
                                 : text.rfind(':', last - 1);
  PlanId id;
  if (middle == std::string_view::npos || middle == 0 ||
      !ParseNumber(text.substr(middle + 1, last - middle - 1), kDecimal,
                   id.base_revision) ||
      !ParseNumber(text.substr(last + 1), kHex, id.hash)) {
    throw Error(ErrorKind::kBadRequest,
                "\"" + std::string(text) + "\": not a plan identifier");
  }
  id.intent = std::string(text.substr(0, middle));
  return id;
}

}  // namespace auburnyard
