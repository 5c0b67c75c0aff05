#ifndef AUBURNYARD_RESTRICTION_H_
#define AUBURNYARD_RESTRICTION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Takes a failure domain out of service while the platform's service is
/// unavailable. A restriction can only forbid work, never allow it. Hosts
/// exchange the remaining time as a duration.
struct Restriction {
  std::string id;
  std::string author;
  std::string domain;
  std::uint64_t base_revision = 0;  ///< dropped when a higher one is in force
  Duration remaining{0};
};

inline constexpr std::chrono::minutes kMaxRestrictionTime{60};

/// Parses `{"id", "author", "domain", "expires_ms"}`. Throws
/// Error(kBadRequest).
Restriction ParseRestrictionRequest(std::string_view json);
boost::json::object ToJson(const Restriction& restriction);

}  // namespace auburnyard

#endif  // AUBURNYARD_RESTRICTION_H_
