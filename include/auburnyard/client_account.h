#ifndef AUBURNYARD_CLIENT_ACCOUNT_H_
#define AUBURNYARD_CLIENT_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnyard {

/// Requests that all hosts together accept from one account.
struct AccountLimits {
  double rate = 0;   ///< requests per second; 0: not limited
  double burst = 0;  ///< requests beyond the rate

  bool limited() const { return this->rate > 0; }
  bool operator==(const AccountLimits&) const = default;
};

/// Limits of a token bucket that admits as many requests in any window as
/// `limits`, rate x window + burst, with a higher rate and a smaller burst.
/// Answers accounts whose demand is above their rate for longer than their
/// burst lasts, although it stays below their limit.
AccountLimits SpreadBurst(const AccountLimits& limits,
                          std::chrono::seconds window);

/// Client account of the configuration, without its keys.
struct ClientAccount {
  std::string name;
  /// Precedes the priority of the route, 0 is the highest; empty: the route's
  /// priority alone counts.
  std::optional<std::uint32_t> priority;
  AccountLimits limits;
  std::vector<std::string> allowed_regions;  ///< empty: any
};

}  // namespace auburnyard

#endif  // AUBURNYARD_CLIENT_ACCOUNT_H_
