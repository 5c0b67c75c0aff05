#ifndef AUBURNYARD_SRC_RELAY_STORE_CALL_OUTCOME_H_
#define AUBURNYARD_SRC_RELAY_STORE_CALL_OUTCOME_H_

#include <string_view>

#include "src/net/http_connection.h"

namespace auburnyard {

/// How a call to the store or to a mirror ended.
enum class StoreCallOutcome {
  kSuccess,
  kFailure,   ///< an error status, or the connection failed
  kTimedOut,  ///< no answer in time
};

constexpr std::string_view ToString(StoreCallOutcome outcome) {
  switch (outcome) {
    case StoreCallOutcome::kSuccess:
      return "success";
    case StoreCallOutcome::kTimedOut:
      return "timed_out";
    case StoreCallOutcome::kFailure:
      break;
  }
  return "failure";
}

inline StoreCallOutcome OutcomeOf(const ExchangeResult& result) {
  constexpr int kStatusOk = 200;
  if (result.timed_out) {
    return StoreCallOutcome::kTimedOut;
  }
  return result.error.empty() && result.response.status == kStatusOk
             ? StoreCallOutcome::kSuccess
             : StoreCallOutcome::kFailure;
}

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_CALL_OUTCOME_H_
