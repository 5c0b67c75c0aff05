#ifndef AUBURNYARD_SRC_CORE_CLAIM_BUCKET_H_
#define AUBURNYARD_SRC_CORE_CLAIM_BUCKET_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard/claims.h"

namespace auburnyard::detail {

/// A submission whose claim is not resolved yet.
struct WaitingClaim {
  std::uint64_t ticket = 0;
  std::string id;
  std::string nonce;
  TimePoint refuse_at;  ///< refused at this time if not resolved before
  TimePoint dispatch_before;
  TimePoint issued;  ///< time of issue on the monotonic clock
  /// The value last read or written does not contain the identifier. Reset
  /// when a write fails.
  bool checked = false;
  bool written = false;  ///< was part of at least one write
};

/// Claims of one key. Reads the key, writes all waiting claims with a
/// compare-and-swap on the version read, and grants a claim only after its
/// write succeeded or a read returned its nonce.
class ClaimBucket {
 public:
  ClaimBucket(std::string key, ClaimTable& table);

  void Add(WaitingClaim claim,
           TimePoint now,
           std::vector<ClaimAction>& actions);
  void AddOutcome(const std::string& id,
                  ClaimEntry outcome,
                  TimePoint now,
                  std::vector<ClaimAction>& actions);
  void OnRead(std::uint64_t operation,
              const StoreReply& reply,
              TimePoint now,
              std::vector<ClaimAction>& actions);
  void OnWritten(std::uint64_t operation,
                 const StoreReply& reply,
                 TimePoint now,
                 std::vector<ClaimAction>& actions);
  void OnTimer(TimePoint now, std::vector<ClaimAction>& actions);
  std::optional<TimePoint> NextTimer(TimePoint now) const;

  bool IsWaiting(std::string_view id) const;
  std::size_t waiting() const { return this->claims.size(); }
  bool idle() const { return this->claims.empty() && this->outcomes.empty(); }

 private:
  enum class Phase { kIdle, kReading, kWriting };

  void Advance(TimePoint now, std::vector<ClaimAction>& actions);
  TimePoint ReadyAt(TimePoint now) const;
  bool NeedsRead() const;
  void Write(TimePoint now, std::vector<ClaimAction>& actions);
  void BeginOperation(Phase next, TimePoint now);
  void HandleFailure(TimePoint now);
  bool AcceptValue(const StoreReply& reply);
  void ResolveStoredClaims(TimePoint now, std::vector<ClaimAction>& actions);
  void ResolveStoredClaim(const WaitingClaim& claim,
                          const ClaimEntry& entry,
                          TimePoint now,
                          std::vector<ClaimAction>& actions);
  void AddClaims(ClaimBucketValue& next,
                 TimePoint now,
                 std::vector<ClaimAction>& actions);
  void AddOutcomes(ClaimBucketValue& next);
  void RemoveWrittenOutcomes();
  void Expire(TimePoint now, std::vector<ClaimAction>& actions);
  void Refuse(const WaitingClaim& claim,
              bool claimed,
              std::string_view detail,
              TimePoint now,
              std::vector<ClaimAction>& actions);

  std::string key;
  ClaimTable& table;
  std::vector<WaitingClaim> claims;
  std::map<std::string, ClaimEntry> outcomes;  // not yet written, by identifier
  std::optional<ClaimBucketValue> value;       // last one read or written
  ClaimBucketValue pending_value;
  std::uint64_t version = 0;
  std::uint64_t highest_version = 0;
  Phase phase = Phase::kIdle;
  std::uint64_t operation = 0;
  TimePoint operation_until;
  TimePoint next_attempt;
  TimePoint outcomes_due;
  std::uint32_t failures = 0;
};

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_CLAIM_BUCKET_H_
