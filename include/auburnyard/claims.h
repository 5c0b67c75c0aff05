#ifndef AUBURNYARD_CLAIMS_H_
#define AUBURNYARD_CLAIMS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "auburnyard/claim_entry.h"
#include "auburnyard/claim_identifier.h"
#include "auburnyard/clock.h"

namespace auburnyard {

namespace detail {
class ClaimBucket;
}

/// The identifier is claimed by this submission. It may be dispatched once, and
/// only before `dispatch_before`.
struct ClaimGranted {
  std::string nonce;
  TimePoint dispatch_before;
};
/// The identifier is already claimed. `entry` holds the outcome, or state
/// kClaimed while there is none.
struct ClaimRepeated {
  ClaimEntry entry;
};
/// The identifier is not claimed by this submission, which must not be
/// dispatched.
struct ClaimRefused {
  ErrorKind kind = ErrorKind::kClaimUnavailable;
  RunState run = RunState::kUnknown;
  std::string detail;
};
using ClaimVerdict = std::variant<ClaimGranted, ClaimRepeated, ClaimRefused>;

/// Read a key. The reply goes to ClaimTable::OnRead with the same operation.
struct ReadClaims {
  std::string key;
  std::uint64_t operation = 0;
};
/// Write a key if its version is `expect_version` (0: the key must not exist).
/// The reply goes to ClaimTable::OnWritten.
struct WriteClaims {
  std::string key;
  std::string value;
  std::uint64_t expect_version = 0;
  std::uint64_t operation = 0;
};
struct ResolveClaim {
  std::uint64_t ticket = 0;
  ClaimVerdict verdict;
};
using ClaimAction = std::variant<ReadClaims, WriteClaims, ResolveClaim>;

enum class StoreStatus {
  kOk,        ///< read: version 0 and an empty value if the key does not exist
  kConflict,  ///< write refused: the key has another version
  kUnknown,   ///< no reply; a write may have taken effect or may do so later
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t version = 0;  ///< after the read or write
  std::string value;          ///< of a read
};

struct ClaimOptions {
  std::string host;
  std::string start_nonce;  ///< unique to this process
  /// A claim is refused, and a granted request no longer dispatched, from this
  /// long before the deadline.
  Duration dispatch_margin = std::chrono::milliseconds(10);
  /// Maximum wait for a claim.
  Duration max_wait = std::chrono::milliseconds(750);
  /// A refusal reports "not run" only for identifiers claimed by this host or
  /// up to this age; an older one may have run through another host. Callers
  /// must wait this long after the issue before they repeat a request.
  Duration fresh_age = std::chrono::seconds(1);
  Duration store_timeout = std::chrono::seconds(1);
  /// Outcomes are collected for this long, unless a claim is written before.
  Duration outcome_delay = std::chrono::milliseconds(250);
  double writes_per_second = 30;
  double write_burst = 10;
  std::size_t max_waiting = 1024;  ///< for each bucket
  /// The platform's limit for a value is 1 MB.
  std::size_t max_value_bytes = 900'000;
};

/// Claims of one host. Does no I/O: takes requests, replies and the time, and
/// returns actions.
/// Claims of a bucket that wait while a write is in progress go into the next
/// write together. Not synchronized.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimOptions options);
  ~ClaimTable();
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  /// Requests a claim; exactly one ResolveClaim with `ticket` follows, now or
  /// later.
  std::vector<ClaimAction> Claim(std::uint64_t ticket,
                                 std::string_view id,
                                 TimePoint deadline,
                                 WallTime wall,
                                 TimePoint now);
  std::vector<ClaimAction> OnRead(const std::string& key,
                                  std::uint64_t operation,
                                  const StoreReply& reply,
                                  TimePoint now);
  std::vector<ClaimAction> OnWritten(const std::string& key,
                                     std::uint64_t operation,
                                     const StoreReply& reply,
                                     TimePoint now);
  /// Records the outcome of a granted request; `outcome.nonce` is that of the
  /// grant. Best effort: written with later claims of the bucket, or on its own
  /// if the write rate allows it.
  std::vector<ClaimAction> RecordOutcome(std::string_view id,
                                         ClaimEntry outcome,
                                         TimePoint now);
  std::vector<ClaimAction> OnTimer(TimePoint now);
  /// Time of the next OnTimer call; empty if nothing is pending.
  std::optional<TimePoint> NextTimer(TimePoint now) const;
  /// Sets this host's share of the fleet's write rate for claims.
  void SetWriteRate(double writes_per_second);

  /// Number of claims that wait or are being written.
  std::size_t pending() const;

 private:
  friend class detail::ClaimBucket;

  detail::ClaimBucket& BucketOf(const std::string& key);
  /// Time from which a write leaves at least `reserve` tokens.
  TimePoint WriteReadyAt(double reserve, TimePoint now) const;
  void ConsumeWriteToken(TimePoint now);
  double WriteTokensAt(TimePoint now) const;
  void AddToCache(const std::string& id, const ClaimEntry& entry);
  const ClaimEntry* FindCached(std::string_view id) const;
  std::optional<ClaimVerdict> ImmediateVerdict(
      std::string_view id,
      bool fresh,
      const detail::ClaimBucket& bucket) const;
  void DropIdleBuckets();

  ClaimOptions options;
  std::map<std::string, std::unique_ptr<detail::ClaimBucket>, std::less<>>
      buckets;
  std::map<std::string, ClaimEntry, std::less<>> cache;
  std::deque<std::string> cache_order;
  std::uint64_t next_nonce = 0;
  std::uint64_t next_operation = 1;
  double write_tokens = 0;
  TimePoint tokens_at;  // time of the last update of write_tokens
};

/// Whether a granted request may still be dispatched. Call it right before the
/// dispatch: the process may have been paused since the claim.
bool MayDispatch(const ClaimGranted& grant, TimePoint now);

}  // namespace auburnyard

#endif  // AUBURNYARD_CLAIMS_H_
