#ifndef AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_

#include <string>
#include <string_view>

#include "src/net/http_message.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

/// What is wrong with a success on the route /one/; empty if nothing.
std::string CheckSingleAnswer(RelayFleet& fleet, const BeastResponse& answer);

/// What is wrong with a success on the route /all/: parts of another request,
/// a part twice, wrong counts, or records that are not those of its parts.
std::string CheckMergedAnswer(RelayFleet& fleet,
                              const BeastResponse& answer,
                              std::string_view request_id);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_
