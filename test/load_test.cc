#include <boost/test/unit_test.hpp>

#include "test/load_simulation.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::LoadOptions;
using test::LoadSimulation;

// The users' target for the mean value of an answer, as a share of a complete
// answer within the objective.
constexpr double kTargetValue = 0.89;

// Share of the requests that may be repeated, and the number beyond it, as the
// simulation sets them for each of its eight hosts and 20 services.
constexpr double kRepeatRatio = 0.2;
constexpr std::size_t kRepeatBurst = 3 * 8 * 20;

// A long kind and a short, urgent one. At `load` 1 they use 40% of the targets'
// capacity. Each target pauses 4% of the time.
LoadOptions TwoKinds(double load) {
  LoadOptions options;
  options.kinds = {{.name = "long",
                    .work = milliseconds(28),
                    .per_second = 67 * load,
                    .objective = milliseconds(250)},
                   {.name = "short",
                    .work = milliseconds(9),
                    .per_second = 22 * load,
                    .objective = milliseconds(120),
                    .min_coverage = 0.75}};
  options.pause = milliseconds(300);
  options.pause_interval = milliseconds(7'500);
  return options;
}

// Every seventh target is slow, so that the other target of its service has to
// take nearly all requests.
LoadOptions SlowTargets(double load) {
  LoadOptions options = TwoKinds(load);
  for (std::size_t i = 0; i < 2 * options.services; i += 7) {
    options.slow.push_back(
        {.target = i, .factor = 6, .from = seconds(3), .until = seconds(11)});
  }
  return options;
}

bool KeepsRepeatBudget(const LoadSimulation& simulation) {
  return static_cast<double>(simulation.repeats()) <=
         kRepeatRatio * static_cast<double>(simulation.first_arrivals()) +
             static_cast<double>(kRepeatBurst);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_test)

// Guards against hedges that come too late for the short kind, because the work
// of the long one delays them: 56% of all requests meet a paused target.
BOOST_AUTO_TEST_CASE(PausedTargetsAreHedgedInTimeForEachKind) {
  LoadSimulation simulation(TwoKinds(1));
  simulation.Run();
  BOOST_TEST(simulation.result(0).CompleteShare() > kTargetValue);
  BOOST_TEST(simulation.result(1).CompleteShare() > kTargetValue);
  BOOST_TEST(KeepsRepeatBudget(simulation));
}

// Guards against overload by work that no caller needs: abandoned requests,
// hedges that are too late, and far targets in place of a near one that is in
// time.
BOOST_AUTO_TEST_CASE(SlowTargetsDoNotOverloadTheOthers) {
  LoadSimulation simulation(SlowTargets(1.4));
  simulation.Run();
  BOOST_TEST(simulation.result(0).MeanValue() > kTargetValue);
  BOOST_TEST(simulation.result(1).MeanValue() > kTargetValue);
  BOOST_TEST(KeepsRepeatBudget(simulation));
}

// Guards against parts that are placed behind a full pool of connections, or at
// a target whose replies are overdue, while another target is free.
BOOST_AUTO_TEST_CASE(FullPoolsAndOverdueTargetsAreAvoided) {
  LoadSimulation simulation(SlowTargets(1.5));
  simulation.Run();
  BOOST_TEST(simulation.result(0).MeanValue() > kTargetValue);
  BOOST_TEST(KeepsRepeatBudget(simulation));
}

// Guards against requests to another region that gain the caller nothing.
BOOST_AUTO_TEST_CASE(NearTargetsAreUsedIfTheyAreInTime) {
  LoadOptions options = TwoKinds(1);
  LoadSimulation preferring(options);
  preferring.Run();
  options.prefer_near = false;
  LoadSimulation indifferent(options);
  indifferent.Run();
  BOOST_TEST(preferring.result(1).CompleteShare() > kTargetValue);
  BOOST_TEST(4 * preferring.far_requests() < 3 * indifferent.far_requests());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
