#ifndef AUBURNYARD_CONFIGURATION_CHECK_H_
#define AUBURNYARD_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "auburnyard/account_table.h"
#include "auburnyard/route.h"
#include "auburnyard/route_table.h"

namespace auburnyard {

/// The operator's configuration in the order in which it is written.
struct RelayConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<std::pair<std::string, ServiceLimits>> services;
  CallerLimits limits;
  std::optional<std::vector<AccountWithKeys>> accounts;  ///< none: no keys
};

enum class FindingKind {
  kError,          ///< requests would fail, or the version would be rejected
  kUnreachable,    ///< the entry can never match
  kContradiction,  ///< limits of the entry contradict each other
  kDifference,     ///< from the version in force
};

std::string_view ToString(FindingKind kind);

/// Result of a check. Contains no key of an account.
struct ConfigurationFinding {
  FindingKind kind = FindingKind::kError;
  std::string entry;  ///< such as "route search"
  std::string text;
};

/// Checks a configuration, and compares it with the one in force if that is not
/// null.
std::vector<ConfigurationFinding> CheckConfiguration(
    const RelayConfiguration& configuration,
    const RelayConfiguration* in_force);

}  // namespace auburnyard

#endif  // AUBURNYARD_CONFIGURATION_CHECK_H_
