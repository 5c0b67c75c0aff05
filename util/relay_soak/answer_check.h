#ifndef AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_

#include <string>
#include <string_view>

#include "src/net/http_message.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

/// Describes the fault in a successful answer on the route /one/; empty if it
/// is correct.
std::string CheckSingleAnswer(RelayFleet& fleet, const BeastResponse& answer);

/// The same for the route /all/: parts of another request, duplicate parts,
/// wrong counts, coverage below the minimum, or records that do not match the
/// parts. `short_allowed`: the path may be on the route /all/short/.
std::string CheckMergedAnswer(RelayFleet& fleet,
                              const BeastResponse& answer,
                              std::string_view request_id,
                              bool short_allowed);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_ANSWER_CHECK_H_
