#ifndef AUBURNYARD_CONFIGURATION_H_
#define AUBURNYARD_CONFIGURATION_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace auburnyard {

enum class PriorityClass { kUrgent, kNormal, kArchive };
inline constexpr std::size_t kPriorityClassCount = 3;

std::string_view ToString(PriorityClass priority);
/// Throws Error(kBadRequest) for an unknown name.
PriorityClass ParsePriorityClass(std::string_view name);

/// All classes in descending order of precedence.
using ClassOrder = std::array<PriorityClass, kPriorityClassCount>;
inline constexpr ClassOrder kDefaultClassOrder = {
    PriorityClass::kUrgent, PriorityClass::kNormal, PriorityClass::kArchive};

/// Throws Error(kBadRequest) unless every class is named exactly once; `path`
/// is the location that the message states.
ClassOrder ParseClassOrder(const boost::json::array& names,
                           const std::string& path);
boost::json::array ToJson(const ClassOrder& order);

struct DomainConfig {
  std::string region;
  bool in_service = true;  ///< false: taken out by operators
};

struct TargetConfig {
  std::string id;
  std::string host;
  std::uint16_t port = 0;
  std::string domain;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  std::uint32_t cold_limit = 1;
  std::uint32_t warm_after = 10;  ///< completed requests until warm
  std::chrono::milliseconds connection_cost{0};
  bool leaving = false;
};

/// Scheduling of a service's sub-requests at the gates, and handling of
/// sub-requests that are late or failed.
struct ServiceConfig {
  ClassOrder class_order = kDefaultClassOrder;
  double retry_budget = 0.1;   ///< share of first attempts
  double hedge_budget = 0.05;  ///< share of first attempts
  bool early_answer =
      true;  ///< answer at the deadline margin with stated coverage
  double min_coverage = 0.0;
  std::chrono::milliseconds hedge_delay{
      0};  ///< 0: derived from observed latency
};

/// Configuration in force. Immutable; each one in force has a higher revision
/// than the one before.
struct Configuration {
  std::uint64_t revision = 0;
  std::string nonce;
  std::map<std::string, DomainConfig, std::less<>> domains;
  std::map<std::string, TargetConfig, std::less<>> targets;
  std::map<std::string, ServiceConfig, std::less<>> services;
  boost::json::object intents;
};

/// Parses a configuration document. Throws Error(kBadRequest) that names the
/// faulty member.
Configuration ParseConfiguration(std::string_view json);
std::string SerializeConfiguration(const Configuration& configuration);

}  // namespace auburnyard

#endif  // AUBURNYARD_CONFIGURATION_H_
