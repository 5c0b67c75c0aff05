#ifndef AUBURNYARD_TEST_LOAD_SIMULATION_H_
#define AUBURNYARD_TEST_LOAD_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/fan_out.h"
#include "auburnyard/repeat_budget.h"

namespace auburnyard::test {

/// Requests of one kind: a part from every service.
struct LoadKind {
  std::string name;
  Duration work{};        ///< mean time at a target
  double per_second = 0;  ///< over all hosts
  Duration objective{};
  double min_coverage = 0.89;
};

/// A target that takes a multiple of the usual time for a while.
struct SlowPeriod {
  std::size_t target = 0;
  double factor = 1;
  Duration from{};
  Duration until{};
};

/// Two regions, each with one target of every service.
struct LoadOptions {
  std::vector<LoadKind> kinds;
  std::size_t services = 20;
  std::size_t hosts = 8;  ///< alternately in the two regions
  std::size_t slots = 3;
  std::size_t queue = 18;
  std::size_t connections = 3;  ///< of each host to each target
  Duration pause{};
  Duration pause_interval{};
  std::vector<SlowPeriod> slow;
  Duration length = std::chrono::seconds(12);
  /// Factor on the time of work at a target, by the time since the start and
  /// the number of requests that run there. Empty: 1.
  std::function<double(std::size_t target, Duration at, std::size_t running)>
      speed;
  bool reports_speed = false;  ///< whether replies state the factor
  /// The rate of requests varies by this share of its mean.
  double wave_swing = 0;
  Duration wave_period = std::chrono::seconds(13);
  /// Whether hosts prefer targets of their own region that are in time.
  bool prefer_near = true;
};

/// What callers of one kind get.
struct LoadResult {
  std::size_t requests = 0;
  std::size_t in_time = 0;
  std::size_t complete = 0;  ///< in time and with all parts
  double value = 0;          ///< sum of the squared shares of parts, if in time
  double MeanValue() const {
    return this->value / static_cast<double>(this->requests);
  }
  double CompleteShare() const {
    return static_cast<double>(this->complete) /
           static_cast<double>(this->requests);
  }
};

/// Plays requests of several hosts against targets with slots, queues, pauses
/// and few connections, with the product's decisions and without a network.
class LoadSimulation {
 public:
  explicit LoadSimulation(LoadOptions options);
  ~LoadSimulation();

  void Run();
  const LoadResult& result(std::size_t kind) const {
    return this->results.at(kind);
  }
  std::size_t first_arrivals() const { return this->firsts; }
  std::size_t repeats() const { return this->repeat_count; }
  std::size_t far_requests() const { return this->far_count; }
  /// Requests that reached the target in each half second.
  const std::vector<std::size_t>& received(std::size_t target) const;

 private:
  struct Exchange;
  struct Pool;
  struct Target;
  struct Host;
  struct Request;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void Schedule(TimePoint time, std::function<void()> action);
  void ScheduleArrival(std::size_t kind);
  void StartRequest(std::size_t kind);
  FanOutHooks MakeHooks(Request& request);
  TargetPtr ChooseTarget(const Request& request,
                         std::string_view service,
                         std::span<const TargetPtr> tried);
  void Submit(Request& request, PartAttempt id, const TargetPtr& state);
  void Dispatch(Pool& pool);
  void Arrive(const ExchangePtr& exchange);
  void StartQueued(Target& target);
  double SpeedOf(const Target& target, TimePoint at) const;
  TimePoint EndOfWork(const Target& target, Duration work) const;
  void Complete(const ExchangePtr& exchange);
  void Abandon(const ExchangePtr& exchange);
  void CheckLinger(const ExchangePtr& exchange);
  void Leave(Pool& pool, const ExchangePtr& exchange);
  void ArmTimer(Request& request);
  void Finish(Request& request, const FanOutResult& result);

  LoadOptions options;
  std::vector<Route> routes;
  std::vector<LoadResult> results;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Request>> requests;
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::string, std::size_t, std::less<>> service_index;
  TimePoint now;
  TimePoint end;
  std::mt19937_64 random;
  std::size_t firsts = 0;
  std::size_t repeat_count = 0;
  std::size_t far_count = 0;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_LOAD_SIMULATION_H_
