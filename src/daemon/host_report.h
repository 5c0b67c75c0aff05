#ifndef AUBURNYARD_SRC_DAEMON_HOST_REPORT_H_
#define AUBURNYARD_SRC_DAEMON_HOST_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "auburnyard/clock.h"
#include "src/daemon/store_fault.h"

namespace auburnyard {

/// What is known about one entry host.
struct HostReport {
  std::string id;
  std::string domain;
  std::uint64_t revision = 0;  ///< in force there, as last reported; 0: unknown
  std::optional<Duration> age;  ///< of its knowledge, as of now
};

struct StatusReport {
  std::uint64_t revision = 0;  ///< in force on this host
  std::uint64_t newest_revision = 0;
  std::optional<Duration> age;
  std::vector<HostReport> hosts;
  std::vector<StoreFault> faults;
};

/// Includes by name the hosts that have not confirmed the newest revision and
/// those whose knowledge is stale.
boost::json::object ToJson(const StatusReport& report);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_HOST_REPORT_H_
