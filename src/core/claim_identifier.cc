#include "auburnyard/claim_identifier.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace auburnyard {

namespace {

constexpr std::size_t kMaxUniqueChars = 100;
constexpr std::size_t kMaxTimeDigits = 15;

bool IsIdentifierChar(unsigned char c) {
  return std::isalnum(c) != 0 || c == '_' || c == '.' || c == ':' || c == '-';
}

// FNV-1a with 64 bits. std::hash may differ between builds, and all hosts must
// find a claim under the same key.
std::uint64_t StableHash(std::string_view text) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  // The low bits of FNV-1a depend on few input bits each.
  return hash ^ (hash >> 32);
}

}  // namespace

std::optional<WallTime> ParseClaimIdentifier(std::string_view id) {
  const std::size_t dash = id.find('-');
  if (dash == std::string_view::npos || dash == 0 || dash > kMaxTimeDigits) {
    return std::nullopt;
  }
  const std::string_view unique = id.substr(dash + 1);
  if (unique.empty() || unique.size() > kMaxUniqueChars ||
      !std::all_of(unique.begin(), unique.end(), IsIdentifierChar)) {
    return std::nullopt;
  }
  std::uint64_t issued = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + dash, issued);
  // With leading zeros one request could have two identifiers.
  if (error != std::errc() || end != id.data() + dash || id.front() == '0') {
    return std::nullopt;
  }
  return WallTime(issued);
}

std::optional<IdentifierProblem> CheckClaimIdentifier(std::string_view id,
                                                      WallTime wall) {
  const std::optional<WallTime> issued = ParseClaimIdentifier(id);
  if (!issued) {
    return IdentifierProblem{ErrorKind::kBadRequest, RunState::kNotRun,
                             "request_id: expected <ms>-<unique>, with the "
                             "time of issue in milliseconds"};
  }
  if (*issued < wall - kClaimRetention) {
    return IdentifierProblem{
        ErrorKind::kRequestTooOld, RunState::kUnknown,
        "request_id: older than the retention of claims of " +
            std::to_string(kClaimRetention.count()) + " hours"};
  }
  if (*issued > wall + kMaxIdentifierLead) {
    // A host whose clock is ahead may have accepted the identifier.
    const bool certain =
        *issued > wall + kMaxIdentifierLead + 2 * kMaxClockSkew;
    return IdentifierProblem{ErrorKind::kBadRequest,
                             certain ? RunState::kNotRun : RunState::kUnknown,
                             "request_id: issued more than " +
                                 std::to_string(kMaxIdentifierLead.count()) +
                                 " s ahead of this host's clock"};
  }
  return std::nullopt;
}

std::string ClaimKey(std::int64_t period, std::uint64_t bucket) {
  return "auburnyard/claims/" + std::to_string(period) + "/" +
         std::to_string(bucket);
}

std::string ClaimKeyOf(std::string_view id) {
  const WallTime issued = ParseClaimIdentifier(id).value_or(WallTime(0));
  return ClaimKey(issued / kClaimPeriod, StableHash(id) % kClaimBuckets);
}

}  // namespace auburnyard
