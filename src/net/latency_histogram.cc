#include "src/net/latency_histogram.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace auburnyard {

namespace {

struct Bound {
  std::uint64_t nanoseconds;
  const char* seconds;  // label "le" in the format of Prometheus
};

constexpr std::array<Bound, 18> kBounds = {{
    {250'000, "0.00025"},
    {500'000, "0.0005"},
    {1'000'000, "0.001"},
    {2'500'000, "0.0025"},
    {5'000'000, "0.005"},
    {10'000'000, "0.01"},
    {20'000'000, "0.02"},
    {35'000'000, "0.035"},
    {50'000'000, "0.05"},
    {75'000'000, "0.075"},
    {100'000'000, "0.1"},
    {150'000'000, "0.15"},
    {280'000'000, "0.28"},
    {500'000'000, "0.5"},
    {1'000'000'000, "1"},
    {5'000'000'000, "5"},
    {20'000'000'000, "20"},
    {60'000'000'000, "60"},
}};

// Prometheus buckets include their upper bound, axis bins exclude it.
// Observations are whole nanoseconds, so half a nanosecond added to a bound
// makes it inclusive.
constexpr double kInclusiveOffset = 0.5;
constexpr double kMinEdge = -1.0;
constexpr double kNanosecondsPerSecond = 1e9;

std::vector<double> AxisEdges() {
  std::vector<double> edges = {kMinEdge};
  for (const Bound& bound : kBounds) {
    edges.push_back(static_cast<double>(bound.nanoseconds) + kInclusiveOffset);
  }
  return edges;
}

void AppendLine(std::string& out,
                const std::string& name,
                const std::string& labels,
                const std::string& value) {
  out += name;
  if (!labels.empty()) {
    out += "{" + labels + "}";
  }
  out += " " + value + "\n";
}

}  // namespace

LatencyHistogram::LatencyHistogram() : counts(std::tuple(Axis(AxisEdges()))) {}

void LatencyHistogram::Observe(std::chrono::nanoseconds duration) {
  // A negative duration would decrease the sum, which must be monotonic.
  const auto value = std::max<std::int64_t>(duration.count(), 0);
  this->counts(static_cast<double>(value));
  this->sum_ns.fetch_add(static_cast<std::uint64_t>(value),
                         std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::Count() const {
  std::uint64_t total = 0;
  for (int i = 0; i <= static_cast<int>(kBounds.size()); ++i) {
    total += this->counts.at(i).value();
  }
  return total;
}

void LatencyHistogram::Render(std::string_view name,
                              std::string_view labels,
                              std::string& out) const {
  const std::string base(name);
  const std::string label_list(labels);
  const std::string prefix = label_list.empty() ? "" : label_list + ",";
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    total += this->counts.at(static_cast<int>(i)).value();
    AppendLine(out, base + "_bucket",
               prefix + "le=\"" + kBounds.at(i).seconds + "\"",
               std::to_string(total));
  }
  total += this->counts.at(static_cast<int>(kBounds.size())).value();
  AppendLine(out, base + "_bucket", prefix + "le=\"+Inf\"",
             std::to_string(total));
  char sum[32];
  std::snprintf(
      sum, sizeof(sum), "%.9f",
      static_cast<double>(this->sum_ns.load()) / kNanosecondsPerSecond);
  AppendLine(out, base + "_sum", label_list, sum);
  AppendLine(out, base + "_count", label_list, std::to_string(total));
}

}  // namespace auburnyard
