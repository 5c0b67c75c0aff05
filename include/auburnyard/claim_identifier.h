#ifndef AUBURNYARD_CLAIM_IDENTIFIER_H_
#define AUBURNYARD_CLAIM_IDENTIFIER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "auburnyard/error.h"

namespace auburnyard {

/// Wall-clock time in milliseconds since the Unix epoch. Only claims use wall
/// clocks.
using WallTime = std::chrono::milliseconds;

/// Claims are kept, and identifiers accepted, for this long after their issue.
inline constexpr std::chrono::hours kClaimRetention{24};
/// Maximum difference between a host's wall clock and true time for which
/// claims are correct.
inline constexpr std::chrono::seconds kMaxClockSkew{5};
/// An identifier may be issued this far ahead of the host's clock.
inline constexpr std::chrono::seconds kMaxIdentifierLead{60};
/// Claims of identifiers issued in the same period share keys. Part of the
/// stored format: hosts with another value would look for a claim under another
/// key.
inline constexpr std::chrono::minutes kClaimPeriod{1};
/// Keys per period. Part of the stored format.
inline constexpr std::uint64_t kClaimBuckets = 64;

/// Why an identifier cannot be claimed.
struct IdentifierProblem {
  ErrorKind kind = ErrorKind::kBadRequest;
  RunState run = RunState::kNotRun;
  std::string detail;
};

/// Time of issue of `<ms>-<unique>`; empty if the identifier is malformed. The
/// unique part has 1 to 100 characters of A-Z, a-z, 0-9, '_', '.', ':' and '-'.
std::optional<WallTime> ParseClaimIdentifier(std::string_view id);
/// Checks form and age; empty if the identifier may be claimed.
std::optional<IdentifierProblem> CheckClaimIdentifier(std::string_view id,
                                                      WallTime wall);

/// `auburnyard/claims/<period>/<bucket>`.
std::string ClaimKey(std::int64_t period, std::uint64_t bucket);
/// Key of a well-formed identifier.
std::string ClaimKeyOf(std::string_view id);

}  // namespace auburnyard

#endif  // AUBURNYARD_CLAIM_IDENTIFIER_H_
