#include "auburnyard/target_gate.h"

#include <boost/test/unit_test.hpp>

#include "test/core_test_support.h"
#include "test/script.h"

namespace auburnyard::test {

namespace {

GateLimits Limits(std::uint32_t slots, std::uint32_t cold_limit) {
  GateLimits limits;
  limits.slots = slots;
  limits.cold_limit = cold_limit;
  return limits;
}

/// Reads an optional flag at the end of an event.
bool Flag(std::istream& in, const std::string& name) {
  std::string word;
  return in >> word && word == name;
}

std::string StateOf(const TargetGate& gate) {
  return std::string(gate.cold() ? "cold " : "warm ") +
         (gate.draining() ? "draining " : "") + std::to_string(gate.window()) +
         " " + std::to_string(gate.in_flight()) + " " +
         std::to_string(gate.queued());
}

GateRequest ReadRequest(std::istream& in) {
  GateRequest request = Request("");
  std::int64_t deadline_ms = 1000;
  std::string word;
  in >> request.id;
  while (in >> word) {
    if (word == "once") {
      request.idempotent = false;
    } else if (word.starts_with("bytes=")) {
      request.bytes = std::stoul(word.substr(6));
    } else if (std::isdigit(word[0]) != 0) {
      deadline_ms = std::stol(word);
    } else {
      request.priority = ParsePriorityClass(word);
    }
  }
  request.deadline = At(deadline_ms);
  return request;
}

/// Events: "+" enqueues; "ok", "refused" and "failed" are replies; "state"
/// prints "cold" or "warm", "draining" if set, the window, and the numbers of
/// requests in flight and queued.
void Run(TargetGate& gate, const std::string& script) {
  RunScript(
      script,
      [&gate](std::int64_t ms, const std::string& verb,
              std::istream& in) -> std::string {
        const TimePoint now = At(ms);
        if (verb == "+") {
          return Text(gate.Enqueue(ReadRequest(in), now));
        }
        if (verb == "state") {
          return StateOf(gate);
        }
        if (verb == "limits") {
          std::uint32_t slots = 0;
          std::uint32_t cold_limit = 0;
          in >> slots >> cold_limit;
          return Text(gate.SetLimits(Limits(slots, cold_limit), now));
        }
        std::string id;
        std::string word;
        in >> id >> word;
        const std::vector<std::pair<std::string, ReplyOutcome>> replies = {
            {"ok", ReplyOutcome::kOk},
            {"refused", ReplyOutcome::kRefusedBeforeStart},
            {"failed", ReplyOutcome::kFailed}};
        for (const auto& [name, outcome] : replies) {
          if (verb == name) {
            return Text(gate.OnReply(id, outcome,
                                     Report(word, Flag(in, "drain")), now));
          }
        }
        return Text(verb == "cancel"  ? gate.Cancel(id, *ParseReason(word), now)
                    : verb == "ended" ? gate.OnExchangeEnded(id, now)
                    : verb == "lost"  ? gate.OnConnectionLost(id, now)
                    : verb == "out"   ? gate.SetAdmission({false, false}, now)
                    : verb == "leaving" ? gate.SetAdmission({true, true}, now)
                    : verb == "back"    ? gate.EndDrain(now)
                                        : gate.OnTimer(now));
      });
}

void RunCold(const GateLimits& limits, const std::string& script) {
  TargetGate gate("t", limits);
  Run(gate, script);
}

/// Runs the script at a gate that has ramped up to its slots for a target with
/// the start identifier "s1".
void RunWarm(std::uint32_t slots, const std::string& script) {
  TargetGate gate("t", Limits(slots, 1));
  for (int i = 0; i < 2 || (gate.cold() && i < 100); ++i) {
    gate.Enqueue(Request("warm"), At(0));
    gate.OnReply("warm", ReplyOutcome::kOk, Report("s1"), At(0));
  }
  Run(gate, script);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_gate_test)

// Guards against a duplicate enqueue message that dispatches an attempt twice.
BOOST_AUTO_TEST_CASE(DuplicateEnqueueIsIgnored) {
  RunWarm(2, R"(
    0 + a -> dispatch a; 0 + a; 0 + b -> dispatch b; 0 + c; 0 + c
    0 state -> warm 2 2 1)");
}

// Guards against a ramp that counts the reply to an attempt that is not in
// flight, or to one dispatched before the target became cold.
BOOST_AUTO_TEST_CASE(OnlyKnownRepliesSinceTheColdStartRaiseTheWindow) {
  RunCold(Limits(4, 1), R"(
    0 ok unknown s1; 0 state -> cold 1 0 0)");
  RunWarm(3, R"(
    0 + a -> dispatch a; 0 + b -> dispatch b; 0 + c -> dispatch c
    1 lost a -> abort c target_cold_limit; 2 ok b s1; 2 state -> cold 1 1 0)");
}

// Guards against a reply to an unknown attempt that changes the drain mark. Its
// other start identifier may belong to a newer process, so the gate becomes
// cold.
BOOST_AUTO_TEST_CASE(UnknownReplyChangesNoDrainMark) {
  RunWarm(2, R"(
    0 ok old s1 drain; 0 state -> warm 2 0 0; 0 ok old s0
    0 state -> cold 1 0 0)");
}

// Guards against a reply from before the drain that clears the drain mark, and
// against a mark that never expires: a target that receives no requests sends
// no reply that could clear it.
BOOST_AUTO_TEST_CASE(DrainMarkEndsAfterItsHold) {
  RunWarm(2, R"(
    0 + a -> dispatch a; 0 + b -> dispatch b; 1 ok a s1 drain; 2 ok b s1
    2 state -> warm draining 2 0 0
    3 + c 90000 -> reject c retry_target_draining
    60000 + d 90000 -> dispatch d; 60000 state -> cold 1 1 0)");
}

// Guards against a ramp from a window of zero, and against requests that wait
// forever for it to open.
BOOST_AUTO_TEST_CASE(ZeroWindowRejectsInBoundedTime) {
  for (const auto& [limits, reason] :
       {std::pair{Limits(0, 0), "target_slots_busy"},
        std::pair{Limits(4, 0), "target_cold_limit"}}) {
    const std::string text = reason;
    RunCold(limits, "0 + a; 1 ok unknown s1; 200 timer -> reject a " + text +
                        "; 201 + b; 250 timer; 251 timer -> reject b " + text);
  }
}

// Guards against a second abort of an exchange, and against the abort of a
// non-idempotent request.
BOOST_AUTO_TEST_CASE(ExcessIsAbortedOnceAndKeepsItsSlot) {
  RunWarm(3, R"(
    0 + a once -> dispatch a; 0 + b -> dispatch b
    0 + c -> dispatch c; 1 lost c -> abort b target_cold_limit
    2 lost unknown; 2 cancel b cancelled_by_caller
    2 cancel a cancelled_by_caller; 2 state -> cold 1 2 0; 3 + d; 4 ok a s1
    5 failed b s1 -> dispatch d)");
}

// Guards against a cold target that keeps its window when its limit is lowered,
// a higher number of slots that skips the ramp, and a warm target that loses
// its window through a brief limit of zero.
BOOST_AUTO_TEST_CASE(LimitsChange) {
  RunCold(Limits(6, 2), R"(
    0 limits 3 1; 0 state -> cold 1 0 0)");
  RunWarm(2, R"(
    0 limits 6 1; 0 state -> cold 2 0 0)");
  RunWarm(2, R"(
    0 limits 0 0; 0 limits 2 1; 0 state -> warm 2 0 0)");
}

// Guards against starvation of the lowest class by higher classes.
BOOST_AUTO_TEST_CASE(LowestClassGetsOneStartInTwenty) {
  std::string script = "0 + first -> dispatch first\n0 + low 900 archive\n";
  std::string running = "first";
  for (int i = 0; i < 20; ++i) {
    const std::string id = "u" + std::to_string(i);
    const std::string next = i < 19 ? id : "low";
    script += "0 + " + id + " urgent\n0 ok " + running + " s1 -> dispatch " +
              next + "\n";
    running = next;
  }
  RunWarm(1, script);
}

// Guards against the dispatch of a queued request although the configuration,
// its deadline or the target's state forbids it.
BOOST_AUTO_TEST_CASE(QueuedWorkIsRejectedWithItsReason) {
  for (const char* event :
       {"1 out -> reject q domain_out", "1 leaving -> reject q target_leaving",
        "1000 timer -> reject q deadline_elapsed",
        "1 cancel q cancelled_by_winner -> reject q cancelled_by_winner",
        "1 refused run s1 drain -> reject q retry_target_draining",
        "995 ok run s1 -> reject q deadline_too_short"}) {
    TargetGate gate("t", Limits(1, 1));
    Run(gate, "0 + run 5000 -> dispatch run\n0 + q");
    BOOST_TEST((gate.NextTimer() == At(1000)));
    Run(gate, event);
    BOOST_TEST(gate.queued() == 0U);
  }
}

// Guards against a deadline check that ignores the requests ahead in the queue,
// and against an estimate that rejects every request after a slow period.
BOOST_AUTO_TEST_CASE(DeadlineBelowServiceTimeIsRejectedEarly) {
  RunCold(Limits(1, 1), R"(
    0 + slow 5000 -> dispatch slow; 100 ok slow s1
    100 + a 150 -> reject a deadline_too_short; 100 + b 250 -> dispatch b
    100 + c 310; 100 + d 290; 100 + e 295 -> reject e deadline_too_short
    2000 ok b s1 -> reject d deadline_elapsed, reject c deadline_elapsed
    4000 + f 4050 -> dispatch f)");
}

// Guards against an unbounded queue, and against a queue full of lower classes
// that rejects urgent requests.
BOOST_AUTO_TEST_CASE(FullQueueDropsTheLowestClassFirst) {
  GateLimits limits = Limits(1, 1);
  limits.queue_length = 3;
  limits.queue_bytes = 100;
  RunCold(limits, R"(
    0 + run -> dispatch run; 0 + x archive; 0 + y 2000 archive; 0 + n
    0 + u1 urgent bytes=60 -> reject y queue_full
    0 + u2 urgent bytes=41 -> reject n queue_full, reject u2 queue_full
    0 + u3 urgent bytes=40; 0 + u4 urgent -> reject u4 queue_full)");
}

// Guards against shedding a higher class before a lower one, and against
// shedding after a single burst.
BOOST_AUTO_TEST_CASE(StandingQueueDelayShedsTheLowestClassFirst) {
  struct Case {
    PriorityClass delayed;
    std::int64_t delay_ms;
    std::string shed;  // urgent, normal, archive
  };
  for (const Case& one : {Case{PriorityClass::kArchive, 50, "..."},
                          Case{PriorityClass::kArchive, 51, "..x"},
                          Case{PriorityClass::kNormal, 101, ".xx"},
                          Case{PriorityClass::kUrgent, 201, "xxx"}}) {
    Shedder shedder(GateLimits{}.shed_bounds);
    WaitQueue queue(50);
    const auto shed = [&](std::int64_t ms) {
      std::string text;
      for (std::size_t i = 0; i < kPriorityClassCount; ++i) {
        const auto priority = static_cast<PriorityClass>(i);
        text += shedder.ShouldShed(priority, queue, At(ms)) ? 'x' : '.';
      }
      return text;
    };
    shedder.OnStart(one.delayed, Duration(0), At(0));
    shedder.OnStart(one.delayed, At(one.delay_ms) - At(0), At(50));
    BOOST_TEST(shed(99) == "...");
    BOOST_TEST(shed(101) == one.shed);
    BOOST_TEST(shed(151) == "...");
    queue.Push(Request("old", 9000, one.delayed), At(151 - one.delay_ms));
    BOOST_TEST(shed(151) == (one.delay_ms > 100 ? one.shed : "..."));
  }
}

// Guards against shedding that takes the lowest class's guaranteed share, and
// against shedding while a slot is free.
BOOST_AUTO_TEST_CASE(GateShedsBeforeWorkIsDone) {
  RunWarm(1, R"(
    200 + run 9000 -> dispatch run; 200 + n1 9000; 200 + n2 9000
    350 ended run -> dispatch n1; 360 + n3 9000 -> reject n3 queue_delay
    360 + x1 9000 archive; 360 + x2 9000 archive -> reject x2 queue_delay
    360 cancel n2 cancelled_by_caller -> reject n2 cancelled_by_caller
    360 cancel x1 cancelled_by_caller -> reject x1 cancelled_by_caller
    361 ended n1; 362 + n4 9000 -> dispatch n4)");
}

// Guards against an undetected restart of the target, and against a late reply
// of the old process that marks the new one as draining.
BOOST_AUTO_TEST_CASE(NewStartIdentifierDropsToTheColdLimit) {
  RunWarm(3, R"(
    0 + a -> dispatch a; 0 + b -> dispatch b; 0 + c -> dispatch c
    1 ok a s2 -> abort c target_cold_limit; 2 ok b s1 drain
    2 state -> cold 1 1 0; 2 ended c; 3 + d -> dispatch d; 4 ok d s2 drain
    5 + e -> reject e retry_target_draining; 6 back; 7 + f -> dispatch f
    7 state -> cold 1 1 0)");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::test
