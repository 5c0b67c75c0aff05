#include "util/experiment/trial.h"

#include <algorithm>
#include <thread>

#include "util/load_driver/load_generator.h"
#include "util/load_driver/load_report.h"

namespace auburnyard::util {

namespace {

// Beyond the 99th percentile of the targets' latency without stragglers, which
// is 1.8 times the median for a standard deviation of 0.25 of the logarithm.
constexpr double kHedgeDelayFactor = 2.0;
// Lets the entry hosts open connections and observe that the targets are warm.
constexpr std::chrono::milliseconds kWarmUp{1'000};

LoadOptions MakeLoadOptions(const Scenario& scenario,
                            const TrialOptions& options,
                            const Cluster& cluster) {
  LoadOptions load;
  load.hosts = cluster.HostAddresses();
  for (const ShapeService& service : cluster.shape().services) {
    // Most queries go to the portal, which every service page needs.
    load.services.emplace_back(service.name,
                               service.name == "portal" ? 8.0 : 1.0);
  }
  if (scenario.all_classes) {
    load.classes = {{"urgent", 1.0}, {"normal", 6.0}, {"archive", 3.0}};
  }
  load.rate = options.rate * scenario.rate_factor;
  load.duration = options.duration;
  load.deadline = options.deadline;
  load.seed = options.cluster.seed;
  return load;
}

void WarmUp(LoadOptions load, double rate) {
  load.rate = rate;
  load.duration = kWarmUp;
  load.seed += 1'000'000;
  boost::asio::io_context context(1);
  LoadGenerator generator(context, load);
  generator.Start();
  context.run();
}

/// Sub-requests that the answered queries need: one per shard.
std::uint64_t NeededSubRequests(const Shape& shape,
                                const std::vector<LoadSample>& samples) {
  std::uint64_t needed = 0;
  for (const LoadSample& sample : samples) {
    const auto service =
        std::find_if(shape.services.begin(), shape.services.end(),
                     [&sample](const ShapeService& other) {
                       return other.name == sample.service;
                     });
    if (sample.refusal.empty() && service != shape.services.end()) {
      needed += service->shards.size();
    }
  }
  return needed;
}

std::uint64_t Integer(const boost::json::object& json, std::string_view name) {
  const boost::json::value* value = json.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

/// Adds the totals of the targets: received sub-requests, cold violations, and
/// the cold peak with the highest ratio to its limit.
void AddTargetTotals(const boost::json::value& status,
                     std::uint64_t needed,
                     boost::json::object& report) {
  std::uint64_t received = 0;
  std::uint64_t violations = 0;
  std::uint64_t peak = 0;
  std::uint64_t limit = 1;
  for (const boost::json::value& entry : status.at("targets").as_array()) {
    const boost::json::object& target = entry.as_object();
    received += Integer(target.at("counts").as_object(), "received");
    violations += Integer(target, "cold_violations");
    const std::uint64_t target_peak = Integer(target, "cold_peak");
    const std::uint64_t target_limit = Integer(target, "cold_limit");
    if (target_peak * limit > peak * target_limit) {
      peak = target_peak;
      limit = target_limit;
    }
  }
  report["received"] = received;
  report["extra_load"] =
      needed == 0 ? 0.0
                  : static_cast<double>(received) / static_cast<double>(needed);
  report["cold_peak"] = peak;
  report["cold_limit"] = limit;
  report["cold_violations"] = violations;
}

void RunSteps(const Scenario& scenario,
              const TrialOptions& options,
              Cluster& cluster,
              TimePoint start_time) {
  for (const ScenarioStep& step : scenario.steps) {
    std::this_thread::sleep_until(
        start_time +
        std::chrono::duration_cast<Duration>(options.duration * step.at));
    step.run(cluster);
  }
}

}  // namespace

TrialResult RunTrial(const Scenario& scenario, const TrialOptions& options) {
  Shape shape = BuildShape(options.shape, options.cluster.base_port);
  shape.hedge_delay_ms =
      static_cast<std::uint64_t>(kHedgeDelayFactor * options.cluster.median_ms);
  const auto launched = std::chrono::steady_clock::now();
  Cluster cluster(shape, options.cluster);
  const auto ready = std::chrono::steady_clock::now();
  const LoadOptions load = MakeLoadOptions(scenario, options, cluster);
  WarmUp(load, options.rate);
  cluster.ResetTargetRecords();
  boost::asio::io_context context(1);
  LoadGenerator generator(context, load);
  generator.Start();
  std::thread steps([&, start_time = generator.started_at()] {
    RunSteps(scenario, options, cluster, start_time);
  });
  context.run();
  steps.join();
  TrialResult result;
  result.samples = generator.samples();
  result.report = ReportLoad(load, result.samples);
  result.report["startup_ms"] = ToMilliseconds(ready - launched);
  result.report["scenario"] = scenario.name;
  result.report["policy"] = options.cluster.policy;
  result.report["repeat"] = options.repeat;
  AddTargetTotals(cluster.TargetStatus(),
                  NeededSubRequests(cluster.shape(), result.samples),
                  result.report);
  return result;
}

}  // namespace auburnyard::util
