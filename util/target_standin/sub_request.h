#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_SUB_REQUEST_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_SUB_REQUEST_H_

#include <optional>
#include <string>

#include "auburnyard/clock.h"
#include "auburnyard/key_range.h"

namespace auburnyard::util {

/// One received POST /v1/execute.
struct SubRequest {
  std::string request_id;
  std::string attempt_id;
  std::string service;
  std::string shard;
  KeyRange range;
  std::string query;
  std::string snapshot;
  std::optional<TimePoint> deadline;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_SUB_REQUEST_H_
