#ifndef AUBURNYARD_SRC_CORE_CLAIM_BUCKET_H_
#define AUBURNYARD_SRC_CORE_CLAIM_BUCKET_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard/claims.h"

namespace auburnyard::detail {

/// A submission that waits for its claim.
struct WaitingClaim {
  std::uint64_t ticket = 0;
  std::string id;
  std::string nonce;
  TimePoint give_up;
  TimePoint dispatch_before;
  TimePoint issued;      ///< time of issue on the monotonic clock
  bool checked = false;  ///< looked for since it was added or last written
  bool written = false;  ///< has been part of a write
};

/// Claims of one key. Reads the key, writes all waiting claims with the version
/// that it read, and grants a claim only after its write succeeded or a read
/// showed its nonce.
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

  bool Waits(std::string_view id) const;
  std::size_t waiting() const { return this->claims.size(); }
  bool idle() const { return this->claims.empty() && this->outcomes.empty(); }

 private:
  enum class Phase { kIdle, kReading, kWriting };

  void Advance(TimePoint now, std::vector<ClaimAction>& actions);
  TimePoint ReadyAt(TimePoint now) const;
  bool NeedsRead() const;
  void Write(TimePoint now, std::vector<ClaimAction>& actions);
  void BeginOperation(Phase next, TimePoint now);
  void Fail(TimePoint now);
  bool Adopt(const StoreReply& reply);
  void Settle(TimePoint now, std::vector<ClaimAction>& actions);
  void SettleOne(const WaitingClaim& claim,
                 const ClaimEntry& entry,
                 TimePoint now,
                 std::vector<ClaimAction>& actions);
  void AddClaims(ClaimBucketValue& next,
                 TimePoint now,
                 std::vector<ClaimAction>& actions);
  void AddOutcomes(ClaimBucketValue& next);
  void ForgetWrittenOutcomes();
  void Expire(TimePoint now, std::vector<ClaimAction>& actions);
  void Refuse(const WaitingClaim& claim,
              bool claimed,
              std::string_view detail,
              TimePoint now,
              std::vector<ClaimAction>& actions);

  std::string key;
  ClaimTable& table;
  std::vector<WaitingClaim> claims;
  std::map<std::string, ClaimEntry> outcomes;  // to be recorded, by identifier
  std::optional<ClaimBucketValue> value;       // as read or written last
  ClaimBucketValue writing;
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
