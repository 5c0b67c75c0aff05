#ifndef AUBURNYARD_SRC_DAEMON_HOST_STATUS_H_
#define AUBURNYARD_SRC_DAEMON_HOST_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "auburnyard/clock.h"
#include "src/daemon/store_fault.h"

namespace auburnyard {

/// Last reported state of one entry host.
struct HostStatus {
  std::string id;
  std::string domain;
  std::uint64_t revision = 0;  ///< in force there, as last reported; 0: unknown
  std::optional<Duration> age;  ///< of its configuration, as of now
};

struct StatusReport {
  std::uint64_t revision = 0;  ///< in force on this host
  std::uint64_t newest_revision = 0;
  std::optional<Duration> age;
  std::vector<HostStatus> hosts;
  std::vector<StoreFault> faults;
};

/// Lists the hosts that have not confirmed the newest revision and those whose
/// configuration is stale.
boost::json::object ToJson(const StatusReport& report);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_HOST_STATUS_H_
