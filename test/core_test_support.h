#ifndef AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_
#define AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "auburnyard/target_gate.h"

namespace auburnyard::test {

/// Fixed time axis of a test, in milliseconds.
inline TimePoint At(std::int64_t ms) {
  return TimePoint(std::chrono::milliseconds(1'000'000 + ms));
}

inline std::string Describe(const DispatchAttempt& action) {
  return "dispatch " + action.id;
}
inline std::string Describe(const RejectAttempt& action) {
  return "reject " + action.id + " " + std::string(ToString(action.reason));
}
inline std::string Describe(const AbortAttempt& action) {
  return "abort " + action.id + " " + std::string(ToString(action.reason));
}

/// One line for a list of gate actions, in their order.
inline std::string Text(const std::vector<GateAction>& actions) {
  std::string text;
  for (const GateAction& action : actions) {
    text += text.empty() ? "" : ", ";
    text += std::visit([](const auto& one) { return Describe(one); }, action);
  }
  return text;
}

inline GateRequest Request(const AttemptId& id,
                           std::int64_t deadline_ms = 1000,
                           PriorityClass priority = PriorityClass::kNormal,
                           bool idempotent = true) {
  GateRequest request;
  request.id = id;
  request.priority = priority;
  request.deadline = At(deadline_ms);
  request.idempotent = idempotent;
  return request;
}

inline TargetReport Report(const std::string& start_id, bool draining = false) {
  TargetReport report;
  report.start_id = start_id;
  report.draining = draining;
  return report;
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_
