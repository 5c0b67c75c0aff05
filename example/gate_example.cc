// Runs the gate of one target without I/O: two requests compete for one slot.
#include <chrono>
#include <iostream>
#include <variant>

#include "auburnyard/target_gate.h"

namespace {

void Print(const std::vector<auburnyard::GateAction>& actions) {
  for (const auburnyard::GateAction& action : actions) {
    if (const auto* dispatched =
            std::get_if<auburnyard::DispatchAttempt>(&action)) {
      std::cout << "dispatch " << dispatched->id << '\n';
    }
  }
}

}  // namespace

int main() {
  auburnyard::TargetGate gate("target-1", {.slots = 1, .cold_limit = 1});
  const auburnyard::TimePoint now{std::chrono::hours(1)};
  for (const char* id : {"first", "second"}) {
    Print(gate.Enqueue({.id = id, .deadline = now + std::chrono::seconds(1)},
                       now));
  }
  std::cout << gate.queued() << " request queued\n";
  Print(gate.OnReply("first", auburnyard::ReplyOutcome::kOk,
                     {.start_id = "process-1"}, now));
  return 0;
}
