#include "auburnyard/target_gate.h"

#include <functional>

#include <boost/test/unit_test.hpp>

#include "test/core_test_support.h"

namespace auburnyard::test {

namespace {

GateLimits Limits(std::uint32_t slots, std::uint32_t cold_limit) {
  GateLimits limits;
  limits.slots = slots;
  limits.cold_limit = cold_limit;
  return limits;
}

/// A gate that has ramped up to all of its slots at start identifier "s1".
TargetGate WarmGate(std::uint32_t slots, std::uint32_t cold_limit) {
  TargetGate gate("t", Limits(slots, cold_limit));
  for (int i = 0; gate.cold() && i < 100; ++i) {
    const AttemptId id = "warm" + std::to_string(i);
    gate.Enqueue(Request(id), At(0));
    gate.OnReply(id, ReplyOutcome::kOk, Report("s1"), At(0));
  }
  return gate;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_gate_test)

// Guards against a repeated enqueue message that dispatches an attempt twice.
BOOST_AUTO_TEST_CASE(DuplicateEnqueueIsIgnored) {
  TargetGate gate = WarmGate(2, 1);
  BOOST_TEST(Text(gate.Enqueue(Request("a"), At(0))) == "dispatch a");
  BOOST_TEST(Text(gate.Enqueue(Request("a"), At(0))) == "");
  gate.Enqueue(Request("b"), At(0));
  gate.Enqueue(Request("c"), At(0));
  gate.Enqueue(Request("c"), At(0));
  BOOST_TEST(gate.queued() == 1U);
}

// Guards against a ramp that counts a reply to an attempt the gate does not
// know, or one that was sent before the target became cold.
BOOST_AUTO_TEST_CASE(OnlyKnownRepliesSinceTheColdStartRaiseTheWindow) {
  TargetGate gate("t", Limits(4, 1));
  gate.OnReply("unknown", ReplyOutcome::kOk, Report("s1"), At(0));
  BOOST_TEST(gate.window() == 1U);
  TargetGate warm = WarmGate(3, 1);
  for (const char* id : {"a", "b", "c"}) {
    warm.Enqueue(Request(id), At(0));
  }
  warm.OnConnectionLost("a", At(1));
  warm.OnReply("b", ReplyOutcome::kOk, Report("s1"), At(2));
  BOOST_TEST(warm.window() == 1U);
}

// Guards against a late reply that takes the gate back to an old drain mark or
// start identifier.
BOOST_AUTO_TEST_CASE(UnknownReplyChangesNoDrainMark) {
  TargetGate gate = WarmGate(2, 1);
  gate.OnReply("old", ReplyOutcome::kOk, Report("s1", true), At(0));
  BOOST_TEST(!gate.draining());
  // A foreign start identifier may belong to a newer process, so the gate falls
  // back to the cold limit.
  gate.OnReply("old", ReplyOutcome::kOk, Report("s0"), At(0));
  BOOST_TEST(gate.cold());
}

// Guards against a reply sent before the drain that ends the drain mark.
BOOST_AUTO_TEST_CASE(OlderReplyDoesNotEndTheDrain) {
  TargetGate gate = WarmGate(2, 1);
  gate.Enqueue(Request("a"), At(0));
  gate.Enqueue(Request("b"), At(0));
  gate.OnReply("a", ReplyOutcome::kOk, Report("s1", true), At(1));
  gate.OnReply("b", ReplyOutcome::kOk, Report("s1", false), At(2));
  BOOST_TEST(gate.draining());
}

// Guards against a drain mark that stays for ever, because no reply can arrive
// from a target that gets no request.
BOOST_AUTO_TEST_CASE(DrainMarkEndsAfterItsHold) {
  TargetGate gate = WarmGate(2, 1);
  gate.Enqueue(Request("a"), At(0));
  gate.OnReply("a", ReplyOutcome::kOk, Report("s1", true), At(1));
  BOOST_TEST(Text(gate.Enqueue(Request("b", 90'000), At(2))) ==
             "reject b retry_target_draining");
  BOOST_TEST(Text(gate.Enqueue(Request("c", 90'000), At(60'000))) ==
             "dispatch c");
  BOOST_TEST(gate.window() == 1U);
}

// Guards against a cold limit of zero that ramps up or queues without an end.
BOOST_AUTO_TEST_CASE(ZeroWindowRejectsInBoundedTime) {
  struct Case {
    GateLimits limits;
    std::string reason;
  };
  const std::vector<Case> cases = {{Limits(0, 0), "target_slots_busy"},
                                   {Limits(4, 0), "target_cold_limit"}};
  for (const Case& one : cases) {
    TargetGate gate("t", one.limits);
    gate.Enqueue(Request("a"), At(0));
    gate.OnReply("unknown", ReplyOutcome::kOk, Report("s1"), At(1));
    BOOST_TEST(gate.window() == 0U);
    BOOST_TEST(Text(gate.OnTimer(At(200))) == "reject a " + one.reason);
    BOOST_TEST(Text(gate.Enqueue(Request("b"), At(201))) ==
               "reject b " + one.reason);
  }
}

// Guards against a second abort of an exchange that is being aborted already,
// and against an abort of a request whose outcome must not be lost.
BOOST_AUTO_TEST_CASE(ExcessIsAbortedOnceAndKeepsItsSlot) {
  TargetGate gate = WarmGate(3, 1);
  gate.Enqueue(Request("a", 1000, PriorityClass::kNormal, false), At(0));
  gate.Enqueue(Request("b"), At(0));
  gate.Enqueue(Request("c"), At(0));
  BOOST_TEST(Text(gate.OnConnectionLost("c", At(1))) ==
             "abort b target_cold_limit");
  BOOST_TEST(Text(gate.OnConnectionLost("unknown", At(2))) == "");
  BOOST_TEST(Text(gate.Cancel("b", Reason::kCancelledByCaller, At(2))) == "");
  BOOST_TEST(gate.in_flight() == 2U);
  BOOST_TEST(Text(gate.Enqueue(Request("d"), At(3))) == "");
  BOOST_TEST(Text(gate.OnReply("a", ReplyOutcome::kOk, Report("s1"), At(4))) ==
             "");
  BOOST_TEST(Text(gate.OnReply("b", ReplyOutcome::kFailed, Report("s1"),
                               At(5))) == "dispatch d");
}

// Guards against a lower share that leaves more work in flight or in the queue
// than the share allows, and against a higher one that skips the ramp.
BOOST_AUTO_TEST_CASE(LimitsChangeWhileCold) {
  TargetGate gate("t", Limits(6, 2));
  gate.SetLimits(Limits(3, 1), At(0));
  BOOST_TEST(gate.window() == 1U);
  TargetGate warm = WarmGate(2, 1);
  warm.SetLimits(Limits(6, 1), At(0));
  BOOST_TEST(warm.window() == 2U);
  // A share of zero for a moment does not undo what a warm target has proven.
  TargetGate share = WarmGate(2, 1);
  share.SetLimits(Limits(0, 0), At(0));
  share.SetLimits(Limits(2, 1), At(0));
  BOOST_TEST(share.window() == 2U);
}

// Guards against starvation of the lowest class by the priority order.
BOOST_AUTO_TEST_CASE(LowestClassGetsOneStartInTwenty) {
  TargetGate gate = WarmGate(1, 1);
  gate.Enqueue(Request("first"), At(0));
  gate.Enqueue(Request("archive", 900, PriorityClass::kArchive), At(0));
  AttemptId running = "first";
  int starts = 0;
  for (; running != "archive" && starts < 100; ++starts) {
    gate.Enqueue(
        Request("u" + std::to_string(starts), 1000, PriorityClass::kUrgent),
        At(0));
    const auto actions =
        gate.OnReply(running, ReplyOutcome::kOk, Report("s1"), At(0));
    BOOST_REQUIRE(actions.size() == 1U);
    running = std::get<DispatchAttempt>(actions.front()).id;
  }
  BOOST_TEST(starts == 20);
}

// Guards against work that is sent although the configuration, a deadline or
// the queue bounds forbid it at the time of dispatch.
BOOST_AUTO_TEST_CASE(QueuedWorkIsRejectedWithItsReason) {
  struct Case {
    std::function<std::vector<GateAction>(TargetGate&)> event;
    std::string expected;
  };
  const std::vector<Case> cases = {
      {[](TargetGate& gate) {
         return gate.SetAdmission({.domain_in = false}, At(1));
       },
       "reject q domain_out"},
      {[](TargetGate& gate) {
         return gate.SetAdmission({true, true}, At(1));
       },
       "reject q target_leaving"},
      {[](TargetGate& gate) { return gate.OnTimer(At(1000)); },
       "reject q deadline_elapsed"},
      {[](TargetGate& gate) {
         return gate.Cancel("q", Reason::kCancelledByWinner, At(1));
       },
       "reject q cancelled_by_winner"},
      {[](TargetGate& gate) {
         return gate.OnReply("run", ReplyOutcome::kRefusedBeforeStart,
                             Report("s1", true), At(1));
       },
       "reject q retry_target_draining"},
      {[](TargetGate& gate) {
         return gate.OnReply("run", ReplyOutcome::kOk, Report("s1"), At(995));
       },
       "reject q deadline_too_short"},
  };
  for (const Case& one : cases) {
    TargetGate gate = WarmGate(1, 1);
    gate.OnTimer(At(0));
    BOOST_TEST(Text(gate.Enqueue(Request("run", 5000), At(0))) ==
               "dispatch run");
    BOOST_TEST(Text(gate.Enqueue(Request("q", 1000), At(0))) == "");
    BOOST_TEST((gate.NextTimer() == At(1000)));
    BOOST_TEST(Text(one.event(gate)) == one.expected);
    BOOST_TEST(gate.queued() == 0U);
  }
}

// Guards against an early rejection that ignores the queue ahead, and against
// an estimate that refuses every request after a slow phase.
BOOST_AUTO_TEST_CASE(DeadlineBelowServiceTimeIsRejectedEarly) {
  TargetGate gate("t", Limits(1, 1));
  gate.Enqueue(Request("slow", 5000), At(0));
  gate.OnReply("slow", ReplyOutcome::kOk, Report("s1"), At(100));
  BOOST_TEST(Text(gate.Enqueue(Request("a", 150), At(100))) ==
             "reject a deadline_too_short");
  BOOST_TEST(Text(gate.Enqueue(Request("b", 250), At(100))) == "dispatch b");
  BOOST_TEST(Text(gate.Enqueue(Request("c", 310), At(100))) == "");
  BOOST_TEST(Text(gate.Enqueue(Request("d", 290), At(100))) == "");
  BOOST_TEST(Text(gate.Enqueue(Request("e", 295), At(100))) ==
             "reject e deadline_too_short");
  gate.OnReply("b", ReplyOutcome::kOk, Report("s1"), At(2000));
  BOOST_TEST(Text(gate.Enqueue(Request("f", 4050), At(4000))) == "dispatch f");
}

// Guards against an unbounded queue, and against a full queue of lower classes
// that refuses urgent work.
BOOST_AUTO_TEST_CASE(FullQueueDropsTheLowestClassFirst) {
  GateLimits limits = Limits(1, 1);
  limits.queue_length = 3;
  limits.queue_bytes = 100;
  TargetGate gate("t", limits);
  gate.Enqueue(Request("run"), At(0));
  gate.Enqueue(Request("x", 1000, PriorityClass::kArchive), At(0));
  gate.Enqueue(Request("y", 2000, PriorityClass::kArchive), At(0));
  gate.Enqueue(Request("n"), At(0));
  const auto urgent = [&gate](const char* id, std::size_t bytes) {
    GateRequest request = Request(id, 1000, PriorityClass::kUrgent);
    request.bytes = bytes;
    return Text(gate.Enqueue(request, At(0)));
  };
  BOOST_TEST(urgent("u1", 60) == "reject y queue_full");
  BOOST_TEST(urgent("u2", 41) == "reject n queue_full, reject u2 queue_full");
  BOOST_TEST(urgent("u3", 40) == "");
  BOOST_TEST(urgent("u4", 0) == "reject u4 queue_full");
}

// Guards against shedding a higher class before a lower one, against shedding
// after a single burst, and against shedding the guaranteed share.
BOOST_AUTO_TEST_CASE(StandingQueueDelayShedsTheLowestClassFirst) {
  struct Case {
    PriorityClass delayed;
    std::int64_t delay_ms;
    std::string shed;  // urgent, normal, archive
  };
  const std::vector<Case> cases = {{PriorityClass::kArchive, 50, "..."},
                                   {PriorityClass::kArchive, 51, "..x"},
                                   {PriorityClass::kNormal, 101, ".xx"},
                                   {PriorityClass::kUrgent, 201, "xxx"}};
  for (const Case& one : cases) {
    Shedder shedder(GateLimits{}.shed_bounds);
    WaitQueue queue(50);
    const auto shed = [&](std::int64_t now_ms) {
      std::string text;
      for (std::size_t i = 0; i < kPriorityClassCount; ++i) {
        text += shedder.Sheds(static_cast<PriorityClass>(i), queue, At(now_ms))
                    ? 'x'
                    : '.';
      }
      return text;
    };
    const Duration delay = std::chrono::milliseconds(one.delay_ms);
    shedder.OnStart(one.delayed, Duration(0), At(0));
    shedder.OnStart(one.delayed, delay, At(50));
    BOOST_TEST(shed(99) == "...");
    BOOST_TEST(shed(101) == one.shed);
    BOOST_TEST(shed(151) == "...");
    queue.Push(Request("old", 9000, one.delayed), At(151 - one.delay_ms));
    BOOST_TEST(shed(151) == (one.delay_ms > 100 ? one.shed : "..."));
  }
}

// Guards against the guaranteed share being lost to shedding, and against
// shedding while a slot is free.
BOOST_AUTO_TEST_CASE(GateShedsBeforeWorkIsDone) {
  TargetGate gate = WarmGate(1, 1);
  gate.Enqueue(Request("run", 9000), At(200));
  gate.Enqueue(Request("n1", 9000), At(200));
  gate.Enqueue(Request("n2", 9000), At(200));
  gate.OnExchangeEnded("run", At(350));
  BOOST_TEST(Text(gate.Enqueue(Request("n3", 9000), At(360))) ==
             "reject n3 queue_delay");
  BOOST_TEST(Text(gate.Enqueue(Request("x1", 9000, PriorityClass::kArchive),
                               At(360))) == "");
  BOOST_TEST(Text(gate.Enqueue(Request("x2", 9000, PriorityClass::kArchive),
                               At(360))) == "reject x2 queue_delay");
  gate.Cancel("n2", Reason::kCancelledByCaller, At(360));
  gate.Cancel("x1", Reason::kCancelledByCaller, At(360));
  gate.OnExchangeEnded("n1", At(361));
  BOOST_TEST(Text(gate.Enqueue(Request("n4", 9000), At(362))) == "dispatch n4");
}

// Guards against a restart of the target that goes unnoticed, and against a
// late reply of the old process that marks the new one as draining.
BOOST_AUTO_TEST_CASE(NewStartIdentifierDropsToTheColdLimit) {
  TargetGate gate = WarmGate(3, 1);
  for (const char* id : {"a", "b", "c"}) {
    gate.Enqueue(Request(id), At(0));
  }
  BOOST_TEST(Text(gate.OnReply("a", ReplyOutcome::kOk, Report("s2"), At(1))) ==
             "abort c target_cold_limit");
  BOOST_TEST(gate.window() == 1U);
  gate.OnReply("b", ReplyOutcome::kOk, Report("s1", true), At(2));
  BOOST_TEST(!gate.draining());
  gate.OnExchangeEnded("c", At(2));
  BOOST_TEST(Text(gate.Enqueue(Request("d"), At(3))) == "dispatch d");
  gate.OnReply("d", ReplyOutcome::kOk, Report("s2", true), At(4));
  BOOST_TEST(Text(gate.Enqueue(Request("e"), At(5))) ==
             "reject e retry_target_draining");
  gate.EndDrain(At(6));
  BOOST_TEST(Text(gate.Enqueue(Request("f"), At(7))) == "dispatch f");
  BOOST_TEST(gate.window() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
