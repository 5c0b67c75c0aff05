#include <set>

#include <boost/test/unit_test.hpp>

#include "test/core_world.h"
#include "test/property.h"

namespace auburnyard::test {

namespace {

constexpr std::uint64_t kSeed = 20261204;
// Kinds above the faults deliver messages, which keeps the queries moving.
constexpr int kKindsWithDeliveries = 34;

/// Every violated promise, and the counter-example.
std::pair<std::set<std::string>, std::string> Check(Broken broken) {
  std::set<std::string> violations;
  const std::string text = CounterExample(kSeed, [broken, &violations] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        150, rc::gen::pair(rc::gen::inRange(0, kKindsWithDeliveries),
                           rc::gen::inRange(0, 60)));
    CoreWorld world(broken, *rc::gen::inRange(1U, 3U));
    for (const auto& [kind, choice] : steps) {
      world.Step(kind, static_cast<std::size_t>(choice));
    }
    world.End();
    violations.insert(world.violations().begin(), world.violations().end());
    RC_ASSERT(world.violations().empty());
  });
  return {violations, text};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_property_test)

// Guards P1, P2, P3, P5, P6 and P7 under late, crossed, duplicate and lost
// messages, cold restarts, drains, snapshot switches and cancellations.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderFaults) {
  BOOST_TEST(Check(Broken::kNothing).second == "");
}

// Guards against properties that hold whatever the core does.
BOOST_AUTO_TEST_CASE(BrokenVariantsAreDetected) {
  const std::vector<std::pair<Broken, std::string>> variants = {
      {Broken::kSnapshotCheck, "mixed snapshots"},
      {Broken::kRangeCheck, "coverage differs from the merged ranges"},
      {Broken::kAttemptCheck, "foreign reply"},
      {Broken::kSingleDispatch, "non-idempotent request ran twice"},
      {Broken::kUnknownAfterLoss, "work of a request refused as not run"},
      {Broken::kColdAfterLoss, "cold limit exceeded"},
      {Broken::kSlotUntilEnd, "cold limit exceeded"},
  };
  for (const auto& [broken, expected] : variants) {
    BOOST_TEST(Check(broken).first.contains(expected), expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
