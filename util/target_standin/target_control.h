#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_CONTROL_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_CONTROL_H_

#include <memory>
#include <vector>

#include "src/net/http_server.h"
#include "util/target_standin/target_service.h"

namespace auburnyard::util {

/// HTTP control interface of target-standin:
///   GET  /v1/targets            state, counters and cold peak of each target
///   GET  /v1/records            execution records; parameters target,
///                               request_id, attempt_id
///   GET  /v1/audit              sub-requests that started more than once;
///                               parameter request_id
///   POST /v1/control            {"targets": [ids], "domain", changes...}
///   POST /v1/reset              clears records and counters
class TargetControl {
 public:
  explicit TargetControl(std::vector<std::shared_ptr<TargetService>> services);

  void Handle(const HttpRequest& request, const HttpResponder& respond) const;

 private:
  HttpResponse ListTargets() const;
  HttpResponse ListRecords(const HttpRequest& request) const;
  HttpResponse Audit(const HttpRequest& request) const;
  HttpResponse Apply(const HttpRequest& request) const;
  HttpResponse Reset() const;

  std::vector<std::shared_ptr<TargetService>> targets;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_CONTROL_H_
