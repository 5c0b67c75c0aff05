#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_EXECUTION_RECORD_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_EXECUTION_RECORD_H_

#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include "auburnyard/clock.h"
#include "util/target_standin/sub_request.h"

namespace auburnyard::util {

/// Log record of one sub-request at one target. A time is absent if the event
/// did not occur.
struct ExecutionRecord {
  SubRequest request;
  std::string start_id;
  TimePoint received;
  std::optional<TimePoint> started;
  std::optional<TimePoint> finished;
  std::optional<TimePoint> cancelled;
  std::optional<TimePoint> refused;
  std::string detail;  ///< reason for the refusal or cancellation
};

/// Times are in milliseconds of the machine's monotonic clock.
boost::json::object ToJson(const ExecutionRecord& record);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_EXECUTION_RECORD_H_
