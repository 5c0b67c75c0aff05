#ifndef AUBURNYARD_SRC_NET_LATENCY_HISTOGRAM_H_
#define AUBURNYARD_SRC_NET_LATENCY_HISTOGRAM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace auburnyard {

/// Thread-safe histogram of durations with fixed buckets from 0.25 ms to 60 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Observe(std::chrono::nanoseconds duration);
  std::uint64_t Count() const;
  /// Appends the lines of one Prometheus histogram in seconds. `labels` is the
  /// rendered label list without braces and may be empty.
  void Render(std::string_view name,
              std::string_view labels,
              std::string& out) const;

 private:
  using Cell = boost::histogram::accumulators::count<std::uint64_t, true>;
  using Axis = boost::histogram::axis::variable<double>;

  boost::histogram::histogram<std::tuple<Axis>,
                              boost::histogram::dense_storage<Cell>>
      counts;
  std::atomic<std::uint64_t> sum_ns{0};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_LATENCY_HISTOGRAM_H_
