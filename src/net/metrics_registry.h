#ifndef AUBURNYARD_SRC_NET_METRICS_REGISTRY_H_
#define AUBURNYARD_SRC_NET_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/net/latency_histogram.h"

namespace auburnyard {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class MetricCounter {
 public:
  void Add(std::uint64_t count = 1) {
    this->total.fetch_add(count, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return this->total.load(); }

 private:
  std::atomic<std::uint64_t> total{0};
};

class MetricGauge {
 public:
  void Set(double level) { this->current.store(level); }
  double value() const { return this->current.load(); }

 private:
  std::atomic<double> current{0};
};

/// Named metrics with labels, rendered as Prometheus text. Thread-safe.
/// Returned references stay valid for the lifetime of the registry. Callers on
/// the query path should keep them, because a look-up takes a lock.
class MetricsRegistry {
 public:
  /// The first call for a name sets its help text. Throws Error(kInternal) if
  /// the name or a label is invalid, or if the name exists with another type.
  MetricCounter& Counter(const std::string& name,
                         const std::string& help,
                         const MetricLabels& labels = {});
  MetricGauge& Gauge(const std::string& name,
                     const std::string& help,
                     const MetricLabels& labels = {});
  LatencyHistogram& Histogram(const std::string& name,
                              const std::string& help,
                              const MetricLabels& labels = {});
  /// Renders the Prometheus text exposition format, version 0.0.4.
  std::string Render() const;

  static constexpr std::string_view kContentType =
      "text/plain; version=0.0.4; charset=utf-8";

 private:
  enum class Type { kCounter, kGauge, kHistogram };
  template <typename Metric>
  using Series = std::map<std::string, std::unique_ptr<Metric>>;
  struct Family {
    Type type = Type::kCounter;
    std::string help;
    Series<MetricCounter> counters;  // by rendered labels
    Series<MetricGauge> gauges;
    Series<LatencyHistogram> histograms;
  };

  Family& FindOrAddFamily(const std::string& name,
                          const std::string& help,
                          Type type);
  static std::string_view TypeName(Type type);
  static void RenderFamily(const std::string& name,
                           const Family& family,
                           std::string& out);

  mutable std::mutex mutex;
  std::map<std::string, Family> families;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_METRICS_REGISTRY_H_
