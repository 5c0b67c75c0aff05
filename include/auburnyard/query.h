#ifndef AUBURNYARD_QUERY_H_
#define AUBURNYARD_QUERY_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "auburnyard/configuration.h"
#include "auburnyard/error.h"
#include "auburnyard/key_range.h"

namespace auburnyard {

/// A caller's request.
struct QueryRequest {
  std::string service;
  std::string query;
  std::chrono::milliseconds deadline{1000};  ///< from arrival
  PriorityClass priority = PriorityClass::kNormal;
  double min_coverage = 0.0;
  bool idempotent = true;
  std::string request_id;
};

/// Limits of a caller's request.
inline constexpr std::chrono::milliseconds kMaxDeadline{60'000};
inline constexpr std::size_t kMaxQueryBytes = 16 * 1024;
inline constexpr std::size_t kMaxRequestIdBytes = 128;

/// Parses and validates a request body. Throws Error(kBadRequest) with the name
/// of the invalid member.
QueryRequest ParseQueryRequest(std::string_view json);

/// The merged answer to a query.
struct Answer {
  std::string service;
  std::string snapshot;
  double coverage = 0.0;
  std::vector<KeyRange> missing;
  boost::json::array results;
  std::string decision;
  std::chrono::milliseconds configuration_age{0};
};

/// Refusal of a request. `run` states whether any target executed it.
struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  RunState run = RunState::kUnknown;
  std::string detail;
  std::string decision;
  bool idempotent = false;  ///< the caller may repeat the request in any case
};

/// HTTP status of a refusal.
int StatusOf(const Refusal& refusal);
std::string SerializeAnswer(const Answer& answer);
/// Problem details (RFC 9457).
std::string SerializeRefusal(const Refusal& refusal);

}  // namespace auburnyard

#endif  // AUBURNYARD_QUERY_H_
