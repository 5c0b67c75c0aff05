#include <set>

#include <boost/test/unit_test.hpp>

#include "test/core_simulation.h"
#include "test/property.h"

namespace auburnyard::test {

namespace {

constexpr std::uint64_t kSeed = 20261204;
// Step kinds without a case in Step() deliver a message. More than half of
// them do so, because otherwise the faults would prevent any progress.
constexpr int kKindsWithDeliveries = 34;

/// Returns the violated properties and the counterexample.
std::pair<std::set<std::string>, std::string> Check(OmittedRule omitted_rule) {
  std::set<std::string> violations;
  const std::string text = CounterExample(kSeed, [omitted_rule, &violations] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        150, rc::gen::pair(rc::gen::inRange(0, kKindsWithDeliveries),
                           rc::gen::inRange(0, 60)));
    CoreSimulation simulation(omitted_rule, *rc::gen::inRange(1U, 3U));
    for (const auto& [kind, choice] : steps) {
      simulation.Step(kind, static_cast<std::size_t>(choice));
    }
    simulation.Finish();
    violations.insert(simulation.violations().begin(),
                      simulation.violations().end());
    RC_ASSERT(simulation.violations().empty());
  });
  return {violations, text};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_property_test)

// Checks the properties P1, P2, P3, P5, P6 and P7 of docs/design.md under late,
// crossed, duplicate and lost messages, cold restarts, drains, snapshot
// switches and cancellations.
BOOST_AUTO_TEST_CASE(PropertiesHoldUnderFaults) {
  BOOST_TEST(Check(OmittedRule::kNone).second == "");
}

// Guards against checks that pass regardless of the core's behaviour: disabling
// a rule must violate its property.
BOOST_AUTO_TEST_CASE(BrokenVariantsAreDetected) {
  const std::vector<std::pair<OmittedRule, std::string>> variants = {
      {OmittedRule::kSnapshotCheck, "mixed snapshots"},
      {OmittedRule::kRangeCheck, "coverage differs from the merged ranges"},
      {OmittedRule::kAttemptCheck, "reply of another query"},
      {OmittedRule::kSingleDispatch, "non-idempotent request ran twice"},
      {OmittedRule::kUnknownAfterLoss, "work of a request refused as not run"},
      {OmittedRule::kColdAfterLoss, "cold limit exceeded"},
      {OmittedRule::kSlotUntilEnd, "cold limit exceeded"},
  };
  for (const auto& [omitted_rule, expected] : variants) {
    BOOST_TEST(Check(omitted_rule).first.contains(expected), expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
