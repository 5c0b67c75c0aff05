#include <boost/test/unit_test.hpp>

#include "auburnyard/target_gate.h"

namespace auburnyard {

namespace {

constexpr std::chrono::milliseconds kStep{1};

template <typename Action>
std::size_t CountOf(const std::vector<GateAction>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<Action>(action);
      }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(zero_window_test)

// Guards against the immediate rejection of the first request at a gate that
// has been idle without slots for a long time, for example after the host's
// start.
BOOST_AUTO_TEST_CASE(WaitCountsFromTheFirstRequest) {
  const GateLimits none{.slots = 0, .cold_limit = 0};
  TargetGate gate("t", none);
  TimePoint now{std::chrono::hours(1)};
  gate.OnTimer(now);
  now += std::chrono::minutes(1);
  const GateRequest request{.id = "d.0",
                            .deadline = now + std::chrono::seconds(1)};
  BOOST_TEST(gate.Enqueue(request, now).empty());
  now += none.zero_window_wait - kStep;
  BOOST_TEST(gate.OnTimer(now).empty());
  BOOST_TEST(CountOf<DispatchAttempt>(
                 gate.SetLimits({.slots = 1, .cold_limit = 1}, now)) == 1U);
}

// Guards against a request that waits forever at a gate without slots.
BOOST_AUTO_TEST_CASE(RequestIsRejectedAfterTheWait) {
  const GateLimits none{.slots = 0, .cold_limit = 0};
  TargetGate gate("t", none);
  TimePoint now{std::chrono::hours(1)};
  gate.Enqueue({.id = "d.0", .deadline = now + std::chrono::seconds(1)}, now);
  now += none.zero_window_wait;
  BOOST_TEST(CountOf<RejectAttempt>(gate.OnTimer(now)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
