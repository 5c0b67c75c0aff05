#include "auburnyard/cold_start.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/target_gate.h"

namespace auburnyard {

namespace {

const TimePoint kNow{std::chrono::hours(1)};

std::size_t Dispatched(const std::vector<GateAction>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<DispatchAttempt>(action);
      }));
}

GateRequest Request(int number) {
  return {.id = "d." + std::to_string(number),
          .deadline = kNow + std::chrono::seconds(1)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_start_test)

// Guards against a ramp that grows while the target is still cold. The demo's
// targets stay cold for 10 completions, and a second parallel request slowed
// them down by a factor of 20.
BOOST_AUTO_TEST_CASE(WindowStaysAtTheColdLimitUntilWarm) {
  // The first reply only introduces the start identifier; it does not count as
  // a success.
  TargetGate gate("t", {.slots = 2, .cold_limit = 1, .warm_after = 3});
  for (int i = 0; i < 8; ++i) {
    gate.Enqueue(Request(i), kNow);
  }
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(gate.in_flight() == 1U);
    gate.OnReply("d." + std::to_string(i), ReplyOutcome::kOk,
                 {.start_id = "p1"}, kNow);
  }
  BOOST_TEST(gate.in_flight() == 1U);
  gate.OnReply("d.4", ReplyOutcome::kOk, {.start_id = "p1"}, kNow);
  BOOST_TEST(gate.in_flight() == 2U);
}

// Guards against a host that regains a target and treats it as warm, although
// it may have become cold under another owner.
BOOST_AUTO_TEST_CASE(RegainedShareStartsCold) {
  const GateLimits full{.slots = 2, .cold_limit = 1};
  TargetGate gate("t", full);
  for (int i = 0; i < 4; ++i) {
    gate.Enqueue(Request(i), kNow);
    gate.OnReply("d." + std::to_string(i), ReplyOutcome::kOk,
                 {.start_id = "p1"}, kNow);
  }
  BOOST_TEST(gate.window() == 2U);
  gate.SetLimits({.slots = 0, .cold_limit = 0, .used_by_other_host = true},
                 kNow);
  gate.SetLimits(full, kNow);
  BOOST_TEST(Dispatched(gate.Enqueue(Request(8), kNow)) == 1U);
  BOOST_TEST(Dispatched(gate.Enqueue(Request(9), kNow)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
