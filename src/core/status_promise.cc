#include "auburnyard/status_promise.h"

#include <algorithm>
#include <array>

namespace auburnyard {

namespace {

constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;
constexpr std::array<int, 4> kPromises = {408, 421, 429, kStatusUnavailable};

bool IsSuccess(int status) {
  return status / 100 == 2;
}

}  // namespace

bool PromisesNotRun(int status) {
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

// A refusal without an identifier counts only as the first reply on a
// connection that no other request was sent on. Otherwise it may be a late
// reply to another request, while the target runs this one.
ReplyMeaning MeaningOf(const ReplyEvidence& evidence) {
  const bool unnamed_refusal = evidence.refusal_stated &&
                               !evidence.names_any_request &&
                               evidence.first_on_connection;
  if (!evidence.names_request && !unnamed_refusal) {
    return ReplyMeaning::kUnrelated;
  }
  if (!evidence.refusal_stated) {
    return ReplyMeaning::kAnswer;
  }
  return IsSuccess(evidence.status) ? ReplyMeaning::kContradiction
                                    : ReplyMeaning::kNotRun;
}

bool MayReturnStatus(int status, bool idempotent) {
  return idempotent || !PromisesNotRun(status);
}

int FailureStatus(ErrorKind error, RunState run) {
  if (run == RunState::kNotRun) {
    return kStatusUnavailable;
  }
  return error == ErrorKind::kDeadlineExceeded ? kStatusGatewayTimeout
                                               : kStatusBadGateway;
}

int RefusalStatus(ErrorKind error, RunState run, bool idempotent) {
  const int status = DescribeError(error).http_status;
  return run == RunState::kNotRun || MayReturnStatus(status, idempotent)
             ? status
             : kStatusBadGateway;
}

}  // namespace auburnyard
