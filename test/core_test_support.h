#ifndef AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_
#define AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "auburnyard/query_machine.h"
#include "auburnyard/target_gate.h"

namespace auburnyard::test {

/// Time point of a test, in milliseconds from a fixed origin.
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

inline std::string Describe(const StartAttempt& action) {
  return "start " + action.id + " " + action.target + " " +
         std::string(ToString(action.reason));
}
inline std::string Describe(const CancelAttempt& action) {
  return "cancel " + action.id + " " + std::string(ToString(action.reason));
}
inline std::string Describe(const FinishWithAnswer& action) {
  std::string text = "answer " + action.answer.snapshot;
  for (const boost::json::value& item : action.answer.results) {
    text += " " + std::string(item.as_string());
  }
  return text + " missing " + std::to_string(action.answer.missing.size());
}
inline std::string Describe(const FinishWithRefusal& action) {
  return "refuse " + std::string(DescribeError(action.refusal.kind).name) +
         " " + std::string(ToString(action.refusal.run));
}

/// Formats the actions as one line, in order.
template <typename Action>
std::string Text(const std::vector<Action>& actions) {
  std::string text;
  for (const Action& action : actions) {
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

/// Builds a map with one shard of ten keys per entry of `replicas`. Each letter
/// of an entry is a target.
inline std::shared_ptr<ShardMap> Map(const std::string& snapshot,
                                     const std::vector<std::string>& replicas,
                                     std::uint64_t revision = 1) {
  auto map = std::make_shared<ShardMap>();
  map->snapshot = snapshot;
  map->revision = revision;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    Shard shard{"s" + std::to_string(i), {i * 10, i * 10 + 10}, {}};
    for (const char target : replicas[i]) {
      shard.targets.emplace_back(1, target);
    }
    map->shards.push_back(std::move(shard));
  }
  return map;
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_CORE_TEST_SUPPORT_H_
