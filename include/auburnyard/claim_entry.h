#ifndef AUBURNYARD_CLAIM_ENTRY_H_
#define AUBURNYARD_CLAIM_ENTRY_H_

#include <map>
#include <string>
#include <string_view>

#include "auburnyard/error.h"

namespace auburnyard {

enum class ClaimState {
  kClaimed,  ///< undecided: the request may run, or may have run
  kDone,     ///< answered
  kRefused,  ///< refused; `run` states whether it ran
};

std::string_view ToString(ClaimState state);

/// One claimed identifier, as stored.
struct ClaimEntry {
  std::string nonce;  ///< identifies the submission that wrote the claim
  std::string host;
  ClaimState state = ClaimState::kClaimed;
  RunState run = RunState::kUnknown;
  std::string summary;  ///< of the outcome
};

/// Outcome summaries are truncated to this length.
inline constexpr std::size_t kMaxClaimSummaryBytes = 256;

/// Claims of one key, by identifier.
using ClaimBucketValue = std::map<std::string, ClaimEntry, std::less<>>;

/// Throws Error(kProtocol) if the value cannot be read. An empty value holds no
/// claims.
ClaimBucketValue ParseClaimBucket(std::string_view json);
std::string SerializeClaimBucket(const ClaimBucketValue& value);
/// Upper bound of an entry's size in the stored value, with a summary of the
/// maximum length.
std::size_t ReservedClaimBytes(std::string_view id, const ClaimEntry& entry);

/// Replaces all characters but printable ASCII, and quotes and backslashes, and
/// truncates to `limit` bytes. A stored text can then neither make a bucket
/// unreadable nor grow by escaping.
std::string PlainText(std::string_view text, std::size_t limit);

}  // namespace auburnyard

#endif  // AUBURNYARD_CLAIM_ENTRY_H_
