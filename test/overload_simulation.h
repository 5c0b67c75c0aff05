#ifndef AUBURNYARD_TEST_OVERLOAD_SIMULATION_H_
#define AUBURNYARD_TEST_OVERLOAD_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/admission_view.h"
#include "auburnyard/fan_out.h"

namespace auburnyard::test {

/// Queries of one kind; each needs a part from every shard.
struct QueryKind {
  Duration work{};  ///< mean time of a part at a target
  double per_second = 0;
  std::chrono::milliseconds objective{0};
  double min_coverage = 1;
  std::uint32_t priority = 0;
};

struct OverloadOptions {
  std::vector<QueryKind> kinds;
  bool admission = true;
  double burst_factor = 1;  ///< on the rates, from `from` to `until`
  /// Factor on the rate of the first account; the others have equal rates.
  double account_factor = 1;
  std::size_t accounts = 12;
  double slow_factor = 1;  ///< from `from` to `until`
  std::function<bool(std::size_t shard, std::size_t replica)> is_slow;
  /// Targets that do not answer from `from` to `until`.
  std::function<bool(std::size_t shard, std::size_t replica)> is_down;
  Duration from = std::chrono::seconds(4);
  Duration until = std::chrono::seconds(10);
  Duration length = std::chrono::seconds(14);
  std::uint64_t seed = 20261206;
};

/// Queries that first arrived while the options are in effect, by outcome.
struct QueryCounts {
  double arrived = 0;
  double in_time = 0;
  double refused = 0;  ///< nothing was started, also not for a repeat
  double lost = 0;     ///< started, without enough parts by the deadline
  double Share(double count) const { return count / arrived; }
};

/// Plays queries of many front hosts, which reach 90 shards with three targets
/// each through two fetching hosts in each of six failure domains, with the
/// product's decisions and without a network.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(OverloadOptions options);
  ~OverloadSimulation();

  void Run();
  const QueryCounts& counts(std::size_t kind) const {
    return this->by_kind.at(kind);
  }
  /// Counts of the first account (0) and of all others (1).
  const QueryCounts& account_counts(std::size_t group) const {
    return this->by_account.at(group);
  }
  /// Queries that were refused at any time of the run.
  std::size_t refusals() const { return this->refusal_count; }

 private:
  struct Target;
  struct Exchange;
  struct Bundle;
  struct Query;
  struct Fetcher;
  struct Front;

  void At(TimePoint time, std::function<void()> action);
  bool InBurst(TimePoint time) const;
  void ScheduleArrival(std::size_t kind);
  void Attempt(const std::shared_ptr<Query>& query);
  void Refuse(const std::shared_ptr<Query>& query, double share);
  bool MayStart(const Bundle& bundle);
  void CheckQuery(const std::shared_ptr<Query>& query);
  void StartBundle(const std::shared_ptr<Query>& query, std::size_t parity);
  FanOutHooks MakeHooks(const std::shared_ptr<Bundle>& bundle);
  void Send(const std::shared_ptr<Bundle>& bundle,
            PartAttempt id,
            const TargetPtr& state);
  bool IsSlow(const Target& target) const;
  void StartQueued(Target& target);
  void Complete(const std::shared_ptr<Exchange>& exchange);
  void Arm(const std::shared_ptr<Bundle>& bundle);
  void OnBundleEnd(const std::shared_ptr<Bundle>& bundle, std::size_t missing);
  void Count(const Query& query, double QueryCounts::*counter);

  OverloadOptions options;
  std::vector<Route> routes;  // by kind and half of the shards
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Fetcher>> fetchers;
  std::vector<std::unique_ptr<Front>> fronts;
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::string, std::size_t, std::less<>> shard_index;
  std::vector<QueryCounts> by_kind;
  std::vector<QueryCounts> by_account{2};
  std::size_t refusal_count = 0;
  TimePoint start{std::chrono::seconds(1'000)};
  TimePoint now = this->start;
  std::mt19937_64 random;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_OVERLOAD_SIMULATION_H_
