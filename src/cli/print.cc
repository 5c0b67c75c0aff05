#include "src/cli/print.h"

#include <cstdio>
#include <ostream>

#include <boost/json/serialize.hpp>

namespace auburnyard::cli {

namespace {

using boost::json::object;
using boost::json::value;

std::string FormatPercent(const value& share) {
  constexpr double kPercentPerUnit = 100;
  char text[16];
  std::snprintf(text, sizeof(text), "%.1f %%",
                share.to_number<double>() * kPercentPerUnit);
  return text;
}

void PrintShedLoad(const object& effect, std::ostream& out) {
  for (const value& shed : effect.at("shed").as_array()) {
    out << "    shed: " << FormatPercent(shed.at("share")) << " of class "
        << FormatValue(shed.at("class"))
        << (effect.at("load_known").as_bool() ? "" : " if all slots are in use")
        << '\n';
  }
}

void PrintService(std::string_view name,
                  const object& effect,
                  std::ostream& out) {
  out << "  service " << name << ": slots " << effect.at("slots_before")
      << " -> " << effect.at("slots_after") << ", minimum replicas per shard "
      << effect.at("fewest_replicas_before") << " -> "
      << effect.at("fewest_replicas_after") << ", coverage "
      << FormatPercent(effect.at("coverage_before")) << " -> "
      << FormatPercent(effect.at("coverage_after")) << ", moved "
      << FormatPercent(effect.at("moved_share")) << '\n';
  if (!effect.at("shards_lost").as_array().empty()) {
    out << "    shards without a replica: "
        << JoinNames(effect.at("shards_lost")) << '\n';
  }
  PrintShedLoad(effect, out);
}

}  // namespace

void PrintJson(const value& json, std::ostream& out) {
  out << boost::json::serialize(json) << '\n';
}

std::string FormatValue(const value& json) {
  return json.is_string() ? std::string(json.get_string())
                          : boost::json::serialize(json);
}

std::string JoinNames(const value& names) {
  std::string text;
  for (const value& name : names.as_array()) {
    text += (text.empty() ? "" : ", ") + FormatValue(name);
  }
  return text.empty() ? "none" : text;
}

void PrintPlan(const object& plan, std::ostream& out) {
  out << "plan " << FormatValue(plan.at("id")) << "\n  intent "
      << FormatValue(plan.at("intent")) << ", base revision "
      << plan.at("base_revision") << '\n';
  for (const value& change : plan.at("changes").as_array()) {
    out << "  change " << FormatValue(change.at("path")) << ": "
        << FormatValue(change.at("from")) << " -> "
        << FormatValue(change.at("to")) << '\n';
  }
  if (plan.at("changes").as_array().empty()) {
    out << "  no changes\n";
  }
  out << "  moved targets: " << JoinNames(plan.at("moved_targets"))
      << "; share of traffic: " << FormatPercent(plan.at("moved_share"))
      << '\n';
  for (const auto& domain : plan.at("domains").as_object()) {
    out << "  domain " << std::string_view(domain.key()) << ": slots "
        << domain.value().at("slots_before") << " -> "
        << domain.value().at("slots_after") << '\n';
  }
  for (const auto& service : plan.at("services").as_object()) {
    PrintService(service.key(), service.value().as_object(), out);
  }
  for (const value& conflict : plan.at("conflicts").as_array()) {
    const std::string other = FormatValue(conflict.at("intent"));
    out << "  conflict"
        << (other.empty() ? "" : " with intent \"" + other + "\"") << ": "
        << FormatValue(conflict.at("detail")) << '\n';
  }
}

void PrintIntent(const object& intent, std::ostream& out) {
  out << FormatValue(intent.at("id")) << " by "
      << FormatValue(intent.at("author")) << ", revision "
      << intent.at("created_revision") << ", ";
  const value* confirmation = intent.if_contains("confirmation");
  if (confirmation == nullptr) {
    out << "not confirmed\n";
  } else {
    out << "confirmed in revision " << confirmation->at("revision") << '\n';
  }
  if (!FormatValue(intent.at("text")).empty()) {
    out << "  " << FormatValue(intent.at("text")) << '\n';
  }
  for (const char* const member : {"domains", "targets"}) {
    for (const auto& action : intent.at(member).as_object()) {
      out << "  " << member << '.' << std::string_view(action.key()) << ": "
          << FormatValue(action.value()) << '\n';
    }
  }
  if (const value* order = intent.if_contains("class_order")) {
    out << "  class order: " << JoinNames(*order) << '\n';
  }
}

}  // namespace auburnyard::cli
