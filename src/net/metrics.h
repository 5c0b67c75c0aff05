#ifndef AUBURNYARD_SRC_NET_METRICS_H_
#define AUBURNYARD_SRC_NET_METRICS_H_

#include <array>
#include <string>

#include "auburnyard/configuration.h"
#include "auburnyard/decision.h"
#include "auburnyard/error.h"
#include "auburnyard/reason.h"
#include "src/net/metrics_registry.h"

namespace auburnyard {

/// Metrics of one entry host. For each Reason there are counters of rejections,
/// retries and cancellations, which exist with value 0 from the start. All
/// members are thread-safe; the Count and Observe functions take no lock.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a decision record by its event, and by its reason if it has one.
  void CountRecord(const DecisionRecord& record);
  /// Counts a refusal that was sent to a caller.
  void CountRefusal(ErrorKind kind);
  void CountAnswer(bool complete);
  /// `latency` is the time from arrival to answer or refusal.
  void ObserveQuery(PriorityClass priority, std::chrono::nanoseconds latency);
  /// `latency` is the time from enqueueing an attempt to its result.
  void ObserveSubRequest(std::chrono::nanoseconds latency);

  /// Registry for further metrics, for example those of the platform client.
  MetricsRegistry& registry() { return this->metrics_registry; }
  std::string Render() const { return this->metrics_registry.Render(); }

 private:
  template <typename Metric, std::size_t Count>
  using Table = std::array<Metric*, Count>;

  MetricsRegistry metrics_registry;
  Table<MetricCounter, kDecisionEventCount> events{};
  Table<MetricCounter, kReasonCount> rejections{};
  Table<MetricCounter, kReasonCount> retries{};
  Table<MetricCounter, kReasonCount> cancellations{};
  std::vector<MetricCounter*> refusals;  // by ErrorKind
  Table<LatencyHistogram, kPriorityClassCount> queries{};
  MetricCounter& complete_answers;
  MetricCounter& partial_answers;
  LatencyHistogram& sub_requests;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_METRICS_H_
