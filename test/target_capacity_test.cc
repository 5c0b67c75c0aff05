#include <algorithm>
#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "auburnyard/placement.h"
#include "test/load_simulation.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::LoadOptions;
using test::LoadSimulation;

constexpr TimePoint kStart{seconds(1'000)};

// Deterministic number in [0, 1) for a target and an interval.
double Uniform(std::size_t target, std::int64_t interval) {
  std::uint64_t bits =
      target * 0x9E3779B97F4A7C15ULL +
      static_cast<std::uint64_t>(interval + 1) * 0xBF58476D1CE4E5B9ULL;
  bits = (bits ^ (bits >> 31)) * 0x94D049BB133111EBULL;
  return static_cast<double>((bits ^ (bits >> 29)) >> 11) * 0x1p-53;
}

// Steady factors as observed; 12% of the time in raised states of 2.5 times
// that, of 200 to 400 ms.
double RaisedStates(std::size_t target, Duration at, std::size_t /*running*/) {
  constexpr std::array kSteady = {0.8, 1.0, 1.3};
  constexpr milliseconds kInterval{2'500};
  const std::int64_t interval = at / kInterval;
  const Duration within = at % kInterval;
  const double length = 0.2 + 0.2 * Uniform(target, 2 * interval);
  const double start = 2 * Uniform(target, 2 * interval + 1);
  const double offset = std::chrono::duration<double>(within).count() - start;
  const bool raised = offset >= 0 && offset < length;
  return kSteady[target % kSteady.size()] * (raised ? 2.5 : 1);
}

// Unequal speeds that change each 500 ms.
double ChangingSpeed(std::size_t target, Duration at, std::size_t /*running*/) {
  constexpr std::array kFactors = {0.7, 1.0, 1.4, 3.0};
  return kFactors[static_cast<std::size_t>(
      Uniform(target, at / milliseconds(500)) * kFactors.size())];
}

LoadOptions QuietDay(double load) {
  LoadOptions options;
  options.kinds = {{.name = "long",
                    .work = milliseconds(28),
                    .per_second = 60 * load,
                    .objective = milliseconds(150)},
                   {.name = "short",
                    .work = milliseconds(9),
                    .per_second = 30 * load,
                    .objective = milliseconds(100),
                    .min_coverage = 0.75}};
  options.slots = 2;
  options.queue = 12;
  options.hosts = 12;
  options.connections = 3;
  options.pause = milliseconds(275);
  options.pause_interval = milliseconds(6'750);
  options.length = seconds(26);
  return options;
}

double InTimeShare(const LoadSimulation& simulation, std::size_t kind) {
  return static_cast<double>(simulation.result(kind).in_time) /
         static_cast<double>(simulation.result(kind).requests);
}

TargetPtr MakeTarget(std::uint32_t slots) {
  auto target = std::make_shared<TargetState>(
      TargetEntry{.id = "t", .slots = slots}, Distance::kSameDomain);
  target->OnConnected(milliseconds(1));
  return target;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_capacity_test)

// Guards against requests that are placed otherwise than before at targets that
// report no fourth figure. The costs are those of the code without the feature.
BOOST_AUTO_TEST_CASE(CostsAreUnchangedWithoutTheFigure) {
  const TargetPtr target = MakeTarget(2);
  WorkEstimate work;
  TimePoint now = kStart;
  std::vector<std::int64_t> costs;
  for (int i = 0; i < 20; ++i) {
    target->OnSent(now, &work);
    const TimePoint sent_at = now;
    now += milliseconds(20 + 7 * (i % 5));
    target->OnLoad({.running = 2, .waiting = i % 3U, .slots = 2}, now);
    target->OnReply(sent_at, now, &work);
    if (i % 4 == 3) {
      costs.push_back(target->Cost(now, &work).count());
      costs.push_back(target->Cost(now).count());
      costs.push_back(target->Upper(now, &work).count());
    }
  }
  const std::vector<std::int64_t> expected = {
      20'845'097, 20'845'097, 55'194'920, 33'845'115, 33'845'115,
      64'312'744, 55'302'735, 48'140'713, 79'417'433, 43'158'295,
      37'910'535, 79'727'771, 56'742'037, 52'447'329, 80'807'055};
  BOOST_TEST(costs == expected, boost::test_tools::per_element());
}

// Guards against placement that ignores a raised state of some 300 ms, or that
// follows it after it has ended.
BOOST_AUTO_TEST_CASE(RaisedFigureCountsUntilItIsOld) {
  TargetSpeed speed;
  for (int i = 0; i < 100; ++i) {
    speed.Add(i % 8 == 0 ? 325 : 130, kStart);
  }
  BOOST_TEST(speed.Base() > 1.25);
  BOOST_TEST(speed.Base() < 1.5);
  speed.Add(325, kStart);
  BOOST_TEST(speed.At(kStart) == 3.25);
  BOOST_TEST(speed.At(kStart + milliseconds(100)) > 2.5);
  BOOST_TEST(speed.At(kStart + milliseconds(500)) == speed.Base());
}

// Guards against a first reply in a raised state that keeps requests away from
// the target for long.
BOOST_AUTO_TEST_CASE(RaisedFigureAfterAStartHasLittleEffect) {
  TargetSpeed speed;
  speed.Add(1'100, kStart);
  BOOST_TEST(speed.Base() < 1.2);
}

// Guards against answers that are late because parts go to targets which
// reported that they are slow. Load: 12 hosts, targets with 2 slots, pauses and
// raised states as observed on a quiet day, then speeds that change each 500
// ms.
BOOST_AUTO_TEST_CASE(ReportedSpeedBringsAnswersInTime) {
  using Speed = double (*)(std::size_t, Duration, std::size_t);
  for (const Speed speed : {Speed(&RaisedStates), Speed(&ChangingSpeed)}) {
    LoadOptions options = QuietDay(0.5);
    options.speed = speed;
    LoadSimulation without(options);
    without.Run();
    options.reports_speed = true;
    LoadSimulation with(options);
    with.Run();
    for (const std::size_t kind : {0, 1}) {
      BOOST_TEST_MESSAGE(
          "in time: " << InTimeShare(without, kind) << " -> "
                      << InTimeShare(with, kind)
                      << ", complete: " << without.result(kind).CompleteShare()
                      << " -> " << with.result(kind).CompleteShare());
      BOOST_TEST(InTimeShare(with, kind) >= InTimeShare(without, kind));
    }
    BOOST_TEST(with.result(1).CompleteShare() >
               1.1 * without.result(1).CompleteShare());
  }
}

// Guards against requests that move to and fro between targets. Load: demand
// with a period of 13 s and a swing of 0.55; speeds that change each 500 ms.
BOOST_AUTO_TEST_CASE(DemandWaveCausesNoOscillation) {
  LoadOptions options = QuietDay(0.4);
  options.wave_swing = 0.55;
  options.speed = ChangingSpeed;
  options.reports_speed = true;
  LoadSimulation simulation(options);
  simulation.Run();
  // Requests in two seconds, over which changes of speed average out, at the
  // near and the far target of a service: neither is left out by all hosts, and
  // none gets more than its share and a bound.
  double highest = 0;
  double lowest = 1;
  for (std::size_t service = 0; service < options.services; ++service) {
    const auto& left = simulation.received(2 * service);
    const auto& right = simulation.received(2 * service + 1);
    for (std::size_t i = 4; i + 4 <= std::min(left.size(), right.size());
         i += 4) {
      const auto sum = [i](const std::vector<std::size_t>& counts) {
        return static_cast<double>(counts[i] + counts[i + 1] + counts[i + 2] +
                                   counts[i + 3]);
      };
      const double share = sum(left) / (sum(left) + sum(right));
      highest = std::max({highest, share, 1 - share});
      lowest = std::min({lowest, share, 1 - share});
    }
  }
  BOOST_TEST_MESSAGE("shares of a target: " << lowest << " to " << highest);
  BOOST_TEST(highest < 0.85);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
