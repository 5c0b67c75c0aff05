#ifndef AUBURNYARD_UTIL_RELAY_SOAK_DOUBTFUL_REQUEST_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_DOUBTFUL_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnyard::util {

/// Start of the identifiers of requests that stand inside the body of another
/// one.
inline constexpr std::string_view kInnerRequestPrefix = "inner-";

/// Sends a request to the host whose end is in doubt and whose body contains
/// the text of another request. Returns the status of the answer, 0 without
/// one.
int SendDoubtfulRequest(const std::string& address, std::uint64_t number);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_DOUBTFUL_REQUEST_H_
