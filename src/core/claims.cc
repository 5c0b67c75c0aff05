#include "auburnyard/claims.h"

#include <algorithm>
#include <utility>

#include "src/core/claim_bucket.h"

namespace auburnyard {

namespace {

constexpr std::size_t kMaxHostBytes = 64;
// Cached entries, with which repeats are answered without the store.
constexpr std::size_t kMaxCachedEntries = 8192;
// Above this number idle buckets are removed. An idle bucket holds only the
// highest version observed.
constexpr std::size_t kMaxBuckets = 1024;
constexpr double kMinWriteRate = 0.01;
// A write of outcomes leaves half of the burst to claims, so with a smaller
// burst outcomes alone would never be written.
constexpr double kMinWriteBurst = 2;

}  // namespace

ClaimTable::ClaimTable(ClaimOptions claim_options)
    : options(std::move(claim_options)) {
  this->options.host = PlainText(this->options.host, kMaxHostBytes);
  // A truncated or altered nonce might not be unique.
  if (this->options.start_nonce.empty() ||
      this->options.start_nonce !=
          PlainText(this->options.start_nonce, kMaxHostBytes)) {
    throw Error(ErrorKind::kInternal,
                "the start nonce must have 1 to 64 plain characters");
  }
  this->options.write_burst =
      std::max(this->options.write_burst, kMinWriteBurst);
  this->SetWriteRate(this->options.writes_per_second);
  this->write_tokens = this->options.write_burst;
}

ClaimTable::~ClaimTable() = default;

std::vector<ClaimAction> ClaimTable::Claim(std::uint64_t ticket,
                                           std::string_view id,
                                           TimePoint deadline,
                                           WallTime wall,
                                           TimePoint now) {
  std::vector<ClaimAction> actions;
  if (const auto problem = CheckClaimIdentifier(id, wall)) {
    actions.emplace_back(ResolveClaim{
        ticket, ClaimRefused{problem->kind, problem->run, problem->detail}});
    return actions;
  }
  detail::ClaimBucket& bucket = this->BucketOf(ClaimKeyOf(id));
  const WallTime age = wall - ParseClaimIdentifier(id).value_or(wall);
  const bool fresh = age <= this->options.fresh_age;
  if (auto verdict = this->ImmediateVerdict(id, fresh, bucket)) {
    actions.emplace_back(ResolveClaim{ticket, std::move(*verdict)});
    return actions;
  }
  const TimePoint dispatch_before = deadline - this->options.dispatch_margin;
  bucket.Add(
      {.ticket = ticket,
       .id = std::string(id),
       .nonce =
           this->options.start_nonce + "-" + std::to_string(this->next_nonce++),
       .refuse_at = std::min(dispatch_before, now + this->options.max_wait),
       .dispatch_before = dispatch_before,
       .issued = now - age},
      now, actions);
  return actions;
}

std::optional<ClaimVerdict> ClaimTable::ImmediateVerdict(
    std::string_view id,
    bool fresh,
    const detail::ClaimBucket& bucket) const {
  if (bucket.IsWaiting(id)) {
    return ClaimRepeated{{.host = this->options.host}};
  }
  const ClaimEntry* entry = this->FindCached(id);
  // Another host may have recorded an outcome since its claim was read. An
  // outcome of this host's own claims is cached before it is stored.
  if (entry != nullptr && (entry->state != ClaimState::kClaimed ||
                           entry->host == this->options.host)) {
    return ClaimRepeated{*entry};
  }
  if (bucket.waiting() >= this->options.max_waiting) {
    return ClaimRefused{
        ErrorKind::kOverloaded,
        entry == nullptr && fresh ? RunState::kNotRun : RunState::kUnknown,
        "too many requests wait to be claimed"};
  }
  return std::nullopt;
}

std::vector<ClaimAction> ClaimTable::OnRead(const std::string& key,
                                            std::uint64_t operation,
                                            const StoreReply& reply,
                                            TimePoint now) {
  std::vector<ClaimAction> actions;
  this->BucketOf(key).OnRead(operation, reply, now, actions);
  return actions;
}

std::vector<ClaimAction> ClaimTable::OnWritten(const std::string& key,
                                               std::uint64_t operation,
                                               const StoreReply& reply,
                                               TimePoint now) {
  std::vector<ClaimAction> actions;
  this->BucketOf(key).OnWritten(operation, reply, now, actions);
  return actions;
}

std::vector<ClaimAction> ClaimTable::RecordOutcome(std::string_view id,
                                                   ClaimEntry outcome,
                                                   TimePoint now) {
  std::vector<ClaimAction> actions;
  outcome.host = this->options.host;
  outcome.summary = PlainText(outcome.summary, kMaxClaimSummaryBytes);
  const std::string identifier(id);
  this->AddToCache(identifier, outcome);
  this->BucketOf(ClaimKeyOf(id))
      .AddOutcome(identifier, std::move(outcome), now, actions);
  return actions;
}

std::vector<ClaimAction> ClaimTable::OnTimer(TimePoint now) {
  std::vector<ClaimAction> actions;
  for (auto& [key, bucket] : this->buckets) {
    bucket->OnTimer(now, actions);
  }
  this->DropIdleBuckets();
  return actions;
}

std::optional<TimePoint> ClaimTable::NextTimer(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [key, bucket] : this->buckets) {
    const std::optional<TimePoint> candidate = bucket->NextTimer(now);
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  }
  return next;
}

void ClaimTable::SetWriteRate(double writes_per_second) {
  this->options.writes_per_second = std::max(writes_per_second, kMinWriteRate);
}

std::size_t ClaimTable::pending() const {
  std::size_t count = 0;
  for (const auto& [key, bucket] : this->buckets) {
    count += bucket->waiting();
  }
  return count;
}

detail::ClaimBucket& ClaimTable::BucketOf(const std::string& key) {
  auto& bucket = this->buckets[key];
  if (bucket == nullptr) {
    bucket = std::make_unique<detail::ClaimBucket>(key, *this);
  }
  return *bucket;
}

double ClaimTable::WriteTokensAt(TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(now - this->tokens_at).count();
  return std::min(
      this->options.write_burst,
      this->write_tokens + seconds * this->options.writes_per_second);
}

TimePoint ClaimTable::WriteReadyAt(double reserve, TimePoint now) const {
  const double missing = 1 + reserve - this->WriteTokensAt(now);
  if (missing <= 0) {
    return now;
  }
  // Rounded up, so that the token is available when the timer fires.
  return now + std::chrono::milliseconds(1) +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             missing / this->options.writes_per_second));
}

void ClaimTable::ConsumeWriteToken(TimePoint now) {
  this->write_tokens = this->WriteTokensAt(now) - 1;
  this->tokens_at = now;
}

void ClaimTable::AddToCache(const std::string& id, const ClaimEntry& entry) {
  if (this->cache.insert_or_assign(id, entry).second) {
    this->cache_order.push_back(id);
  }
  if (this->cache_order.size() > kMaxCachedEntries) {
    this->cache.erase(this->cache_order.front());
    this->cache_order.pop_front();
  }
}

const ClaimEntry* ClaimTable::FindCached(std::string_view id) const {
  const auto found = this->cache.find(id);
  return found == this->cache.end() ? nullptr : &found->second;
}

void ClaimTable::DropIdleBuckets() {
  if (this->buckets.size() <= kMaxBuckets) {
    return;
  }
  std::erase_if(this->buckets,
                [](const auto& item) { return item.second->idle(); });
}

bool MayDispatch(const ClaimGranted& grant, TimePoint now) {
  return now < grant.dispatch_before;
}

}  // namespace auburnyard
