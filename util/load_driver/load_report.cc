#include "util/load_driver/load_report.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace auburnyard::util {

namespace {

// Coverage is a quotient of key counts, so full coverage allows for rounding.
constexpr double kFullCoverage = 1.0 - 1e-9;

double Share(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const auto index =
      static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

boost::json::object SummarizeSamples(const std::vector<LoadSample>& samples,
                                     std::chrono::milliseconds deadline) {
  std::vector<double> latencies;
  std::map<std::string, std::uint64_t> refused;
  std::size_t below_full = 0;
  std::size_t in_time = 0;
  std::size_t wrong = 0;
  double coverage = 0;
  double start_lag = 0;
  for (const LoadSample& sample : samples) {
    start_lag = std::max(start_lag, ToMilliseconds(sample.start_lag));
    if (!sample.refusal.empty()) {
      ++refused[sample.refusal];
      continue;
    }
    latencies.push_back(ToMilliseconds(sample.latency));
    coverage += sample.coverage;
    below_full += sample.coverage < kFullCoverage ? 1 : 0;
    in_time += sample.latency <= deadline ? 1 : 0;
    wrong += sample.wrong ? 1 : 0;
  }
  boost::json::object refusals;
  for (const auto& [kind, count] : refused) {
    refusals[kind] = count;
  }
  const std::size_t answers = latencies.size();
  return {{"requests", samples.size()},
          {"answered", answers},
          {"p50_ms", Quantile(latencies, 0.5)},
          {"p99_ms", Quantile(latencies, 0.99)},
          {"p999_ms", Quantile(latencies, 0.999)},
          {"coverage_mean",
           answers == 0 ? 0.0 : coverage / static_cast<double>(answers)},
          {"below_full_share", Share(below_full, answers)},
          {"in_time_share", Share(in_time, samples.size())},
          {"wrong_answers", wrong},
          {"refusals", std::move(refusals)},
          {"max_start_lag_ms", start_lag}};
}

boost::json::object ReportLoad(const LoadOptions& options,
                               const std::vector<LoadSample>& samples) {
  boost::json::object report = SummarizeSamples(samples, options.deadline);
  boost::json::object classes;
  for (const auto& [name, weight] : options.classes) {
    std::vector<LoadSample> part;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(part),
                 [&name = name](const LoadSample& sample) {
                   return sample.priority == name;
                 });
    classes[name] = SummarizeSamples(part, options.deadline);
  }
  report["classes"] = std::move(classes);
  report["seed"] = options.seed;
  report["rate"] = options.rate;
  report["duration_ms"] = options.duration.count();
  report["deadline_ms"] = options.deadline.count();
  return report;
}

}  // namespace auburnyard::util
