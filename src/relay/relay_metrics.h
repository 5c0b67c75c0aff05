#ifndef AUBURNYARD_SRC_RELAY_RELAY_METRICS_H_
#define AUBURNYARD_SRC_RELAY_RELAY_METRICS_H_

#include <array>
#include <string_view>

#include "auburnyard/admission_control.h"
#include "auburnyard/fan_out.h"
#include "auburnyard/loss_cause.h"
#include "src/net/metrics_registry.h"
#include "src/relay/store_call_outcome.h"

namespace auburnyard {

/// Counters and latencies of the request path.
class RelayMetrics {
 public:
  RelayMetrics();

  void CountAnswer(bool complete);
  void CountRefusal(std::string_view kind);
  /// Counts a target's reply that was not returned, by its status.
  void CountWithheldReply(int status);
  /// Counts bytes that came in reply to a request and are no reply.
  void CountUnreadableReply();
  void CountRepeat(AttemptPurpose purpose, bool granted);
  void ObserveRequest(bool fans_out, Duration latency);
  /// Counts missing parts by cause.
  void CountLosses(const LossCounts& losses);
  /// Counts an exchange that was ended because the process buffered too much.
  void CountEviction(std::string_view kind);
  /// Sets the bytes that all exchanges buffer, and their limit.
  void SetBufferedBytes(std::size_t used, std::size_t limit);
  /// Counts a target that announced that it leaves.
  void CountLeavingTarget();
  /// Counts a decision on a request of an account with a limit.
  void CountAccountDecision(std::string_view decision, std::string_view reason);
  /// Sets the number of failure domains whose quota servers are not heard.
  void SetSilentDomains(std::size_t count);
  /// Sets the share of the requests of a kind that this host can answer.
  void SetAdmittedShare(const RequestKind& kind, double share);
  void CountStoreCall(std::string_view kind, StoreCallOutcome outcome);
  /// Records the upper bound of the delay of a configuration that came into
  /// force: the age of the data that it replaced.
  void ObserveConfigurationDelay(Duration age);
  /// Sets the age of the last answer of the store or of a mirror, the
  /// configuration version in force, and the store revision up to which changes
  /// have been applied.
  void SetStoreState(Duration age,
                     std::uint64_t version,
                     std::uint64_t revision);
  /// Sets the number of services by state of their rollout.
  void SetRollouts(const std::array<std::size_t, 3>& by_state);
  std::string Render() const { return this->all.Render(); }

 private:
  MetricsRegistry all;
  MetricCounter& complete;
  MetricCounter& partial;
  MetricCounter& retries;
  MetricCounter& hedges;
  MetricCounter& retries_denied;
  MetricCounter& hedges_denied;
  LatencyHistogram& fan_out_latency;
  LatencyHistogram& single_latency;
  LatencyHistogram& configuration_delay;
  MetricGauge& store_data_age;
  MetricGauge& version;
  MetricGauge& revision;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_METRICS_H_
