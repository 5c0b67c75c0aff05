#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_MODEL_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "util/target_standin/cold_state.h"
#include "util/target_standin/execution_record.h"
#include "util/target_standin/latency_source.h"
#include "util/target_standin/snapshot_table.h"
#include "util/target_standin/target_options.h"

namespace auburnyard::util {

using ExecutionId = std::uint64_t;

enum class AdmissionOutcome {
  kAccepted,
  kQueueFull,
  kLeaving,
  kSnapshotAbsent,
};

/// Result of receiving a sub-request.
struct Arrival {
  AdmissionOutcome outcome = AdmissionOutcome::kAccepted;
  ExecutionId execution = 0;
};

/// An execution that starts now and completes after `latency`.
struct StartedExecution {
  ExecutionId id = 0;
  Duration latency{};
};

enum class CancelOutcome { kUnknown, kNotStarted, kRunning };

/// Result of a cancellation.
struct Cancellation {
  CancelOutcome outcome = CancelOutcome::kUnknown;
  ExecutionId execution = 0;
};

/// Models the slots, queue, cold start and records of one target. Performs no
/// I/O. Not synchronized.
class TargetModel {
 public:
  TargetModel(const TargetOptions& options, std::uint64_t process_nonce);

  Arrival Receive(const SubRequest& request, TimePoint now);
  /// Starts queued executions in free slots. Executions whose deadline has
  /// elapsed are refused and added to `expired`.
  std::vector<StartedExecution> StartQueued(TimePoint now,
                                            std::vector<ExecutionId>& expired);
  /// Ends a running execution. Returns false if it is no longer running.
  bool Finish(ExecutionId id, TimePoint now);
  Cancellation Cancel(std::string_view attempt_id,
                      std::string_view reason,
                      TimePoint now);
  CancelOutcome CancelExecution(ExecutionId id,
                                std::string_view reason,
                                TimePoint now);
  /// Cancels all executions and becomes cold with a new start identifier.
  void Restart(TimePoint now);
  /// Becomes cold with a new start identifier and keeps its executions. These
  /// do not count against the cold limit.
  void BecomeCold();

  std::uint32_t load() const {
    return static_cast<std::uint32_t>(this->running.size() +
                                      this->waiting.size());
  }
  std::string start_id() const;
  const SubRequest& RequestOf(ExecutionId id) const {
    return this->records[id - this->first_record].request;
  }
  const std::deque<ExecutionRecord>& all_records() const {
    return this->records;
  }
  void ResetRecords();
  boost::json::object ToJson() const;

  TargetOptions options;
  SnapshotTable snapshots;
  LatencySource latency;
  bool draining = false;  ///< reports X-Drain but still accepts sub-requests
  bool leaving = false;   ///< reports X-Drain and refuses new sub-requests

 private:
  ExecutionRecord& Record(ExecutionId id) {
    return this->records[id - this->first_record];
  }
  ExecutionId AddRecord(const SubRequest& request, TimePoint now);
  void Refuse(ExecutionId id, std::string_view detail, TimePoint now);
  AdmissionOutcome CheckAdmission(const SubRequest& request) const;
  std::uint32_t ColdConcurrency() const;

  ColdState cold;
  std::deque<ExecutionRecord> records;
  ExecutionId first_record = 1;
  std::deque<ExecutionId> waiting;
  std::vector<ExecutionId> running;
  ExecutionId cold_since = 1;  ///< first execution of the current cold period
  std::uint64_t nonce;
  std::uint64_t starts = 1;
  std::map<std::string, std::uint64_t, std::less<>> counts;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_MODEL_H_
