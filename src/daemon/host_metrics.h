#ifndef AUBURNYARD_SRC_DAEMON_HOST_METRICS_H_
#define AUBURNYARD_SRC_DAEMON_HOST_METRICS_H_

#include <optional>

#include "auburnyard/clock.h"
#include "src/daemon/gate_table.h"
#include "src/net/metrics.h"
#include "src/net/peer_bus_counters.h"
#include "src/net/platform_client.h"

namespace auburnyard {

/// State of an entry host at the time of a scrape.
struct HostGauges {
  std::size_t running_queries = 0;
  std::size_t remote_sub_requests = 0;
  std::size_t live_hosts = 0;
  std::uint64_t revision = 0;
  std::optional<Duration> age;  ///< of the configuration
};

void SetHostGauges(MetricsRegistry& registry, const HostGauges& gauges);
void SetGateGauges(MetricsRegistry& registry, const GateTable& gates);
void SetPlatformGauges(MetricsRegistry& registry,
                       const PlatformCounters& counters);
void SetPeerGauges(MetricsRegistry& registry, const PeerBusCounters& counters);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_HOST_METRICS_H_
