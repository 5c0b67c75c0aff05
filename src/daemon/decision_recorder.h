#ifndef AUBURNYARD_SRC_DAEMON_DECISION_RECORDER_H_
#define AUBURNYARD_SRC_DAEMON_DECISION_RECORDER_H_

#include "auburnyard/clock.h"
#include "auburnyard/decision.h"
#include "auburnyard/decision_log.h"
#include "src/net/metrics.h"

namespace auburnyard {

/// Puts decision records into the log and counts them. Thread safe.
class DecisionRecorder {
 public:
  DecisionRecorder(const Clock& runtime_clock, Metrics& host_metrics)
      : clock(runtime_clock),
        all_metrics(host_metrics),
        origin(runtime_clock.Now()) {}

  /// Time of a record made now.
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
