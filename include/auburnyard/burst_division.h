#ifndef AUBURNYARD_BURST_DIVISION_H_
#define AUBURNYARD_BURST_DIVISION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace auburnyard {

/// Which hosts send requests to the targets of a service.
enum class ServiceUse {
  kFanOut,  ///< mostly hosts that fetch parts for others
  kSingle,  ///< each host for its own callers
};

/// Divides the repeats that a service can handle beyond the ratio among all
/// hosts, so that their sum stays within the limit for any number of hosts.
struct BurstDivision {
  std::string host_name;
  bool connects = true;              ///< this host connects to all targets
  std::size_t connecting_hosts = 0;  ///< hosts that do; 0: unknown
  std::size_t max_other_hosts =
      0;  ///< upper bound of the remaining hosts; 0: unknown

  /// Number of repeats of this host, an integer. The fractional remainder is
  /// assigned by a hash of service and host, so that different services favour
  /// different hosts.
  double ShareOf(double burst,
                 std::string_view service,
                 ServiceUse use = ServiceUse::kFanOut) const;

  bool operator==(const BurstDivision&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_BURST_DIVISION_H_
