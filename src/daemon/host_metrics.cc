#include "src/daemon/host_metrics.h"

namespace auburnyard {

void SetHostGauges(MetricsRegistry& registry, const HostGauges& gauges) {
  registry.Gauge("auburnyard_running_queries", "Queries in progress.")
      .Set(static_cast<double>(gauges.running_queries));
  registry
      .Gauge("auburnyard_foreign_sub_requests",
             "Sub-requests of other hosts that wait or run here.")
      .Set(static_cast<double>(gauges.remote_sub_requests));
  registry
      .Gauge("auburnyard_live_hosts", "Live entry hosts, this one included.")
      .Set(static_cast<double>(gauges.live_hosts));
  registry
      .Gauge("auburnyard_configuration_revision",
             "Revision of the configuration in force.")
      .Set(static_cast<double>(gauges.revision));
  if (gauges.age) {
    registry
        .Gauge("auburnyard_knowledge_age_seconds",
               "Time since the configuration was last known to be current.")
        .Set(std::chrono::duration<double>(*gauges.age).count());
  }
}

void SetGateGauges(MetricsRegistry& registry, const GateTable& gates) {
  gates.ForEach([&registry](const GateRunner& gate) {
    const MetricLabels labels = {{"target", gate.config().id}};
    registry.Gauge("auburnyard_gate_queued", "Sub-requests that wait.", labels)
        .Set(static_cast<double>(gate.queued()));
    registry
        .Gauge("auburnyard_gate_in_flight",
               "Sub-requests that were sent and have not ended.", labels)
        .Set(gate.in_flight());
    registry
        .Gauge("auburnyard_gate_window",
               "Sub-requests that may run at once now.", labels)
        .Set(gate.window());
    registry.Gauge("auburnyard_gate_cold", "1 during cold start.", labels)
        .Set(gate.cold() ? 1 : 0);
  });
}

void SetPlatformGauges(MetricsRegistry& registry,
                       const PlatformCounters& counters) {
  for (std::size_t kind = 0; kind < kPlatformCallKindCount; ++kind) {
    for (std::size_t status = 0; status < kPlatformStatusCount; ++status) {
      registry
          .Gauge("auburnyard_platform_calls",
                 "Finished calls of the platform's service since the start.",
                 {{"kind",
                   std::string(ToString(static_cast<PlatformCallKind>(kind)))},
                  {"status",
                   std::string(ToString(static_cast<PlatformStatus>(status)))}})
          .Set(static_cast<double>(counters.at(kind).at(status)));
    }
  }
}

void SetPeerGauges(MetricsRegistry& registry, const PeerBusCounters& counters) {
  for (std::size_t kind = 0; kind < kPeerMessageKindCount; ++kind) {
    const MetricLabels labels = {{"kind", std::string(PeerMessageName(kind))}};
    registry
        .Gauge("auburnyard_peer_sent_bytes",
               "Bytes sent to other hosts since the start.", labels)
        .Set(static_cast<double>(counters.sent_bytes.at(kind).load()));
    registry
        .Gauge("auburnyard_peer_received_bytes",
               "Bytes received from other hosts since the start.", labels)
        .Set(static_cast<double>(counters.received_bytes.at(kind).load()));
  }
  for (std::size_t drop = 0; drop < kPeerDropCount; ++drop) {
    registry
        .Gauge("auburnyard_peer_dropped_messages",
               "Messages dropped since the start.",
               {{"reason",
                 std::string(ToString(static_cast<PeerDropReason>(drop)))}})
        .Set(static_cast<double>(counters.drops.at(drop).load()));
  }
}

}  // namespace auburnyard
