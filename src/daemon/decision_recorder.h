#ifndef AUBURNYARD_SRC_DAEMON_DECISION_RECORDER_H_
#define AUBURNYARD_SRC_DAEMON_DECISION_RECORDER_H_

#include "auburnyard/clock.h"
#include "auburnyard/decision.h"
#include "auburnyard/decision_log.h"
#include "src/net/metrics.h"

namespace auburnyard {

/// Appends decision records to the log and counts them in the metrics. Thread
/// safe.
class DecisionRecorder {
 public:
  DecisionRecorder(const Clock& runtime_clock, Metrics& host_metrics)
      : clock(runtime_clock),
        all_metrics(host_metrics),
        origin(runtime_clock.Now()) {}

  /// Current time for a record, relative to the start of the recorder.
  Duration Time() const { return this->clock.Now() - this->origin; }
  void Record(const DecisionRecord& record) {
    this->all_metrics.CountRecord(record);
    this->records.Append(record);
  }
  const DecisionLog& log() const { return this->records; }
  Metrics& metrics() { return this->all_metrics; }

 private:
  const Clock& clock;
  Metrics& all_metrics;
  TimePoint origin;
  DecisionLog records;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_DECISION_RECORDER_H_
