#include "auburnyard/shutdown_schedule.h"

#include <algorithm>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// The load balancer probes readiness once a second and removes the host after
// two failures; new connections arrive until then.
constexpr milliseconds kBalancerLag{3'200};
// The process ends this long before it would be killed.
constexpr milliseconds kExitMargin{400};
// Time for the last answers to be written.
constexpr milliseconds kAnswerTime{150};

}  // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint start, Duration limit)
    : exit_limit(start + std::max<Duration>(limit - kExitMargin, {})),
      answer_limit(std::max(start, this->exit_limit - kAnswerTime)),
      accept_limit(
          std::min<TimePoint>(start + kBalancerLag, this->answer_limit)) {}

bool RepliesBefore(TimePoint stop,
                   const TargetState& target,
                   const WorkEstimate* work,
                   TimePoint now) {
  return stop == TimePoint::max() || now + target.Upper(now, work) <= stop;
}

}  // namespace auburnyard
