#ifndef AUBURNYARD_SRC_DAEMON_SUB_REQUEST_H_
#define AUBURNYARD_SRC_DAEMON_SUB_REQUEST_H_

#include <functional>
#include <string>

#include "auburnyard/query_machine.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// One attempt to execute a query on one shard at one target.
struct SubRequest {
  AttemptId id;
  std::string request_id;
  std::string service;
  std::string query;
  std::string target;
  std::string shard;
  std::string snapshot;
  KeyRange range;
  PriorityClass priority = PriorityClass::kNormal;
  TimePoint deadline;
  bool idempotent = true;
};

/// Receives the events of a sub-request. Exactly one of `result` and `failure`
/// is called, once.
struct SubRequestObserver {
  /// Called before the first byte is sent. If it returns false, nothing is sent
  /// and `failure` follows.
  std::function<bool(const AttemptId&)> authorize_dispatch;
  /// Called when the owner of the target has sent it.
  std::function<void(const AttemptId&)> started;
  std::function<void(const AttemptId&, PartialResult)> result;
  std::function<void(const AttemptId&, AttemptFailure)> failure;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_SUB_REQUEST_H_
