#ifndef AUBURNYARD_SHUTDOWN_SCHEDULE_H_
#define AUBURNYARD_SHUTDOWN_SCHEDULE_H_

#include "auburnyard/target_state.h"

namespace auburnyard {

/// Steps of a graceful shutdown. Answers the end of the process, at which
/// requests in progress would be cut without an answer.
class ShutdownSchedule {
 public:
  /// `limit`: time from `start` until the process is killed.
  ShutdownSchedule(TimePoint start, Duration limit);

  /// New connections are accepted until then, because the load balancer still
  /// sends them.
  TimePoint accept_until() const { return this->accept_limit; }
  /// All requests that are still in progress are answered then.
  TimePoint answer_by() const { return this->answer_limit; }
  /// The process ends then, even if callers have not read their answers.
  TimePoint exit_by() const { return this->exit_limit; }

 private:
  TimePoint exit_limit;
  TimePoint answer_limit;
  TimePoint accept_limit;
};

/// Whether the target usually replies before `stop` to a request of this kind
/// that is sent now.
bool RepliesBefore(TimePoint stop,
                   const TargetState& target,
                   const WorkEstimate* work,
                   TimePoint now);

}  // namespace auburnyard

#endif  // AUBURNYARD_SHUTDOWN_SCHEDULE_H_
