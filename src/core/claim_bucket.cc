#include "src/core/claim_bucket.h"

#include <algorithm>
#include <utility>

namespace auburnyard::detail {

namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
constexpr std::uint32_t kMaxBackoffDoublings = 9;
// Consecutive failures after which unwritten outcomes are dropped, about 15
// minutes at the maximum backoff. Recording an outcome is best effort; without
// it a repeat is answered "unknown".
constexpr std::uint32_t kMaxOutcomeFailures = 200;
// Share of the write burst that writes of outcomes alone leave to claims.
constexpr double kOutcomeReserveShare = 0.5;

constexpr std::string_view kNotClaimedInTime =
    "the request could not be claimed in time";
constexpr std::string_view kClaimedTooLate =
    "the claim succeeded too late to run the request";
constexpr std::string_view kBucketFull =
    "too many requests were claimed for the same period";

}  // namespace

ClaimBucket::ClaimBucket(std::string bucket_key, ClaimTable& claim_table)
    : key(std::move(bucket_key)), table(claim_table) {}

void ClaimBucket::Add(WaitingClaim claim,
                      TimePoint now,
                      std::vector<ClaimAction>& actions) {
  this->claims.push_back(std::move(claim));
  this->Advance(now, actions);
}

void ClaimBucket::AddOutcome(const std::string& id,
                             ClaimEntry outcome,
                             TimePoint now,
                             std::vector<ClaimAction>& actions) {
  if (this->outcomes.size() >= this->table.options.max_waiting) {
    return;
  }
  if (this->outcomes.empty()) {
    this->outcomes_due = now + this->table.options.outcome_delay;
  }
  this->outcomes.insert_or_assign(id, std::move(outcome));
  this->Advance(now, actions);
}

bool ClaimBucket::NeedsRead() const {
  return std::any_of(this->claims.begin(), this->claims.end(),
                     [](const WaitingClaim& claim) { return !claim.checked; });
}

TimePoint ClaimBucket::ReadyAt(TimePoint now) const {
  if (this->NeedsRead()) {
    return this->next_attempt;
  }
  const double burst = this->table.options.write_burst;
  if (!this->claims.empty()) {
    return std::max(this->next_attempt, this->table.WriteReadyAt(0, now));
  }
  return std::max(
      {this->next_attempt, this->outcomes_due,
       this->table.WriteReadyAt(burst * kOutcomeReserveShare, now)});
}

void ClaimBucket::Advance(TimePoint now, std::vector<ClaimAction>& actions) {
  this->Expire(now, actions);
  if (this->idle()) {
    // The value may be large, and other hosts soon change it.
    this->value.reset();
    return;
  }
  if (this->phase != Phase::kIdle || now < this->ReadyAt(now)) {
    if (this->phase == Phase::kIdle) {
      this->value.reset();
    }
    return;
  }
  if (this->value) {
    this->Write(now, actions);
    return;
  }
  this->BeginOperation(Phase::kReading, now);
  actions.emplace_back(ReadClaims{this->key, this->operation});
}

void ClaimBucket::BeginOperation(Phase next, TimePoint now) {
  this->phase = next;
  this->operation = this->table.next_operation++;
  this->operation_until = now + this->table.options.store_timeout;
}

void ClaimBucket::Write(TimePoint now, std::vector<ClaimAction>& actions) {
  this->pending_value = *this->value;
  this->AddClaims(this->pending_value, now, actions);
  this->AddOutcomes(this->pending_value);
  if (this->idle()) {
    return;
  }
  this->table.ConsumeWriteToken(now);
  this->BeginOperation(Phase::kWriting, now);
  actions.emplace_back(WriteClaims{this->key,
                                   SerializeClaimBucket(this->pending_value),
                                   this->version, this->operation});
}

void ClaimBucket::AddClaims(ClaimBucketValue& next,
                            TimePoint now,
                            std::vector<ClaimAction>& actions) {
  std::size_t bytes = 0;
  for (const auto& [id, entry] : next) {
    bytes += ReservedClaimBytes(id, entry);
  }
  std::vector<WaitingClaim> kept;
  for (WaitingClaim& claim : this->claims) {
    const ClaimEntry entry{.nonce = claim.nonce,
                           .host = this->table.options.host};
    bytes += ReservedClaimBytes(claim.id, entry);
    if (bytes > this->table.options.max_value_bytes) {
      this->Refuse(claim, /*claimed=*/false, kBucketFull, now, actions);
      continue;
    }
    claim.written = true;
    next.emplace(claim.id, entry);
    kept.push_back(std::move(claim));
  }
  this->claims = std::move(kept);
}

void ClaimBucket::AddOutcomes(ClaimBucketValue& next) {
  std::erase_if(this->outcomes, [&next](const auto& item) {
    const auto& [id, outcome] = item;
    const auto found = next.find(id);
    if (found == next.end() || found->second.nonce != outcome.nonce) {
      return true;  // this submission's claim was not written
    }
    found->second = outcome;
    return false;
  });
}

void ClaimBucket::RemoveWrittenOutcomes() {
  std::erase_if(this->outcomes, [this](const auto& item) {
    const auto& [id, outcome] = item;
    const auto found = this->pending_value.find(id);
    return found != this->pending_value.end() &&
           found->second.nonce == outcome.nonce &&
           found->second.state == outcome.state;
  });
}

void ClaimBucket::OnRead(std::uint64_t replied,
                         const StoreReply& reply,
                         TimePoint now,
                         std::vector<ClaimAction>& actions) {
  if (this->phase != Phase::kReading || replied != this->operation) {
    return;
  }
  this->phase = Phase::kIdle;
  if (reply.status != StoreStatus::kOk || !this->AcceptValue(reply)) {
    this->HandleFailure(now);
  } else {
    this->failures = 0;
    this->ResolveStoredClaims(now, actions);
  }
  this->Advance(now, actions);
}

bool ClaimBucket::AcceptValue(const StoreReply& reply) {
  // A store that returns with older contents may have lost claims of requests
  // that ran.
  if (reply.version < this->highest_version) {
    return false;
  }
  try {
    this->value = ParseClaimBucket(reply.value);
  } catch (const Error&) {
    return false;  // an unreadable value must not be overwritten
  }
  this->version = reply.version;
  this->highest_version = reply.version;
  return true;
}

void ClaimBucket::OnWritten(std::uint64_t replied,
                            const StoreReply& reply,
                            TimePoint now,
                            std::vector<ClaimAction>& actions) {
  if (this->phase != Phase::kWriting || replied != this->operation) {
    return;
  }
  this->phase = Phase::kIdle;
  if (reply.status == StoreStatus::kOk) {
    this->failures = 0;
    this->version = reply.version;
    this->highest_version = std::max(this->highest_version, reply.version);
    this->RemoveWrittenOutcomes();
    this->value = std::move(this->pending_value);
    this->ResolveStoredClaims(now, actions);
  } else if (reply.status == StoreStatus::kConflict) {
    this->value.reset();
    for (WaitingClaim& claim : this->claims) {
      claim.checked = false;
    }
  } else {
    this->HandleFailure(now);
  }
  this->Advance(now, actions);
}

void ClaimBucket::HandleFailure(TimePoint now) {
  this->phase = Phase::kIdle;
  this->value.reset();
  const Duration backoff =
      kInitialBackoff * (1 << std::min(this->failures, kMaxBackoffDoublings));
  this->next_attempt = now + std::min(backoff, kMaxBackoff);
  if (++this->failures > kMaxOutcomeFailures) {
    this->outcomes.clear();
  }
  // A write without a reply may have taken effect. The claims keep their
  // nonces, so that a read, or a second write with the same version, shows
  // whether it did.
  for (WaitingClaim& claim : this->claims) {
    claim.checked = false;
  }
}

void ClaimBucket::ResolveStoredClaims(TimePoint now,
                                      std::vector<ClaimAction>& actions) {
  std::vector<WaitingClaim> open;
  for (WaitingClaim& claim : this->claims) {
    const auto found = this->value->find(claim.id);
    if (found == this->value->end()) {
      claim.checked = true;
      open.push_back(std::move(claim));
    } else {
      this->ResolveStoredClaim(claim, found->second, now, actions);
    }
  }
  this->claims = std::move(open);
}

void ClaimBucket::ResolveStoredClaim(const WaitingClaim& claim,
                                     const ClaimEntry& entry,
                                     TimePoint now,
                                     std::vector<ClaimAction>& actions) {
  if (entry.nonce != claim.nonce) {
    this->table.AddToCache(claim.id, entry);
    actions.emplace_back(ResolveClaim{claim.ticket, ClaimRepeated{entry}});
  } else if (now >= claim.refuse_at) {
    this->Refuse(claim, /*claimed=*/true, kClaimedTooLate, now, actions);
  } else {
    this->table.AddToCache(claim.id, entry);
    actions.emplace_back(ResolveClaim{
        claim.ticket, ClaimGranted{claim.nonce, claim.dispatch_before}});
  }
}

void ClaimBucket::Expire(TimePoint now, std::vector<ClaimAction>& actions) {
  std::vector<WaitingClaim> kept;
  for (WaitingClaim& claim : this->claims) {
    if (now < claim.refuse_at) {
      kept.push_back(std::move(claim));
    } else {
      this->Refuse(claim, /*claimed=*/false, kNotClaimedInTime, now, actions);
    }
  }
  this->claims = std::move(kept);
}

void ClaimBucket::Refuse(const WaitingClaim& claim,
                         bool claimed,
                         std::string_view detail,
                         TimePoint now,
                         std::vector<ClaimAction>& actions) {
  if (claimed || claim.written) {
    this->outcomes.insert_or_assign(claim.id,
                                    ClaimEntry{.nonce = claim.nonce,
                                               .host = this->table.options.host,
                                               .state = ClaimState::kRefused,
                                               .run = RunState::kNotRun,
                                               .summary = std::string(detail)});
  }
  if (const ClaimEntry* cached = this->table.FindCached(claim.id)) {
    actions.emplace_back(ResolveClaim{claim.ticket, ClaimRepeated{*cached}});
    return;
  }
  // Without the claim this host cannot rule out that an older identifier was
  // claimed and dispatched by another host.
  const bool fresh = now - claim.issued <= this->table.options.fresh_age;
  const RunState run =
      claimed || fresh ? RunState::kNotRun : RunState::kUnknown;
  actions.emplace_back(ResolveClaim{
      claim.ticket,
      ClaimRefused{ErrorKind::kClaimUnavailable, run, std::string(detail)}});
}

void ClaimBucket::OnTimer(TimePoint now, std::vector<ClaimAction>& actions) {
  if (this->phase != Phase::kIdle && now >= this->operation_until) {
    this->HandleFailure(now);
  }
  this->Advance(now, actions);
}

std::optional<TimePoint> ClaimBucket::NextTimer(TimePoint now) const {
  if (this->idle() && this->phase == Phase::kIdle) {
    return std::nullopt;
  }
  TimePoint next =
      this->phase == Phase::kIdle ? this->ReadyAt(now) : this->operation_until;
  for (const WaitingClaim& claim : this->claims) {
    next = std::min(next, claim.refuse_at);
  }
  return next;
}

bool ClaimBucket::IsWaiting(std::string_view id) const {
  return std::any_of(
      this->claims.begin(), this->claims.end(),
      [id](const WaitingClaim& claim) { return claim.id == id; });
}

}  // namespace auburnyard::detail
