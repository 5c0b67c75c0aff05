#include "util/target_standin/execution_record.h"

namespace auburnyard::util {

boost::json::object ToJson(const ExecutionRecord& record) {
  const auto time = [](const std::optional<TimePoint>& at) {
    return at ? boost::json::value(ToMilliseconds(at->time_since_epoch()))
              : boost::json::value();
  };
  return {{"request_id", record.request.request_id},
          {"attempt_id", record.request.attempt_id},
          {"service", record.request.service},
          {"shard", record.request.shard},
          {"begin", record.request.range.begin},
          {"end", record.request.range.end},
          {"snapshot", record.request.snapshot},
          {"start_id", record.start_id},
          {"received_ms", time(record.received)},
          {"started_ms", time(record.started)},
          {"finished_ms", time(record.finished)},
          {"cancelled_ms", time(record.cancelled)},
          {"refused_ms", time(record.refused)},
          {"detail", record.detail}};
}

}  // namespace auburnyard::util
