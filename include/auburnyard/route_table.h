#ifndef AUBURNYARD_ROUTE_TABLE_H_
#define AUBURNYARD_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/account_table.h"
#include "auburnyard/route.h"

namespace auburnyard {

/// Limits for the targets of one service, shared by all hosts.
struct ServiceLimits {
  std::uint32_t max_connections = 1;  ///< to each target
  std::chrono::milliseconds warm_up{0};
  double warm_up_requests_per_second = 0;
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 256 * 1024;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of the routes. Immutable.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<Route> routes,
             std::map<std::string, ServiceLimits, std::less<>> services,
             CallerLimits limits,
             std::shared_ptr<const AccountTable> accounts = nullptr);

  std::uint64_t version() const { return this->table_version; }
  const CallerLimits& limits() const { return this->caller_limits; }
  /// Client accounts; null if callers need no key.
  const std::shared_ptr<const AccountTable>& accounts() const {
    return this->account_table;
  }
  /// Limits of a service, or null.
  const ServiceLimits* Service(std::string_view name) const;
  /// Whether routes forward whole requests to the service and none fans out to
  /// it.
  bool IsSingle(std::string_view service) const;
  /// Returns the route of the host with the longest matching path prefix, or
  /// null. A port in `host` is ignored; host names are case-insensitive.
  const Route* Find(std::string_view host, std::string_view path) const;
  const std::map<std::string, std::vector<Route>, std::less<>>& by_host()
      const {
    return this->routes;
  }

 private:
  std::uint64_t table_version;
  std::map<std::string, std::vector<Route>, std::less<>> routes;
  std::map<std::string, ServiceLimits, std::less<>> services;
  std::set<std::string, std::less<>> single_services;
  CallerLimits caller_limits;
  std::shared_ptr<const AccountTable> account_table;
};

/// Host name in lower case, without its port.
std::string NormalizeHost(std::string_view host);

}  // namespace auburnyard

#endif  // AUBURNYARD_ROUTE_TABLE_H_
