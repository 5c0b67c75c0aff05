#include "auburnyard/account_limiter.h"

#include <algorithm>
#include <set>
#include <utility>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{100};
constexpr milliseconds kKeepAliveInterval{250};
// For accounts that would be refused before the next regular report.
constexpr milliseconds kUrgentInterval{20};
// Two missed keep-alives.
constexpr milliseconds kSilenceLimit{500};
// A keep-alive interval and a round trip between regions.
constexpr milliseconds kConfirmationAge{350};
// As long as HostTable counts a host whose registration was removed.
constexpr std::chrono::seconds kRemovedPeerRetention{10};
// Until then, domains that have not registered yet keep their share.
constexpr std::chrono::seconds kRegistrationTime{10};
// Division of the tolerance beyond rate x window + burst. A window that
// includes a restart of all servers needs the part for unconfirmed requests
// twice, because the debt of the first servers is forgotten.
constexpr double kBurstPart = 0.125;
constexpr double kStartPart = 0.125;
constexpr double kUnconfirmedPart = 0.375;
// A limit of 1 refused over 2% of ordinary requests of accounts with a few
// requests per second, because a second one arrived before the confirmation.
constexpr double kMinUnconfirmed = 2;
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{30'000};
constexpr double kMaxJitter = 0.5;
// Ticks arrive every 50 ms; a busy host may delay some.
constexpr milliseconds kPauseGap{300};
// Time in which messages that arrived during a pause are handled.
constexpr milliseconds kBacklogTime{50};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AccountLimiter::AccountLimiter(QuotaPeer own,
                               LimitTolerance limit_tolerance,
                               std::uint64_t start_epoch,
                               TimePoint now)
    : self(std::move(own)),
      tolerance(limit_tolerance),
      own_epoch(start_epoch),
      started_at(now),
      last_tick(now),
      random(start_epoch) {}

void AccountLimiter::SetPeers(const std::vector<QuotaPeer>& others,
                              std::size_t min_domains,
                              TimePoint now) {
  this->known_domains = min_domains;
  std::set<std::string_view> present;
  for (const QuotaPeer& other : others) {
    if (other.name == this->self.name) {
      continue;
    }
    present.insert(other.name);
    const auto [entry, is_new] = this->peers.try_emplace(other.name);
    Peer& peer = entry->second;
    peer.failure_domain = other.failure_domain;
    if (is_new || peer.removed_at != TimePoint::max()) {
      peer.listed_at = now;
      peer.removed_at = TimePoint::max();
      peer.has_left = false;
    }
  }
  // Peers are kept, so that the usage of one that returns is not charged again.
  for (auto& [name, peer] : this->peers) {
    if (present.contains(name)) {
      continue;
    }
    peer.removed_at = std::min(peer.removed_at, now);
    peer.has_left =
        peer.has_left || now - peer.removed_at > kRemovedPeerRetention;
  }
  this->ComputeWeights(now);
}

// Shares are equal between domains, and between the servers of a domain, so
// that they hold also if two servers of a domain are asked and do not hear each
// other.
void AccountLimiter::ComputeWeights(TimePoint now) {
  std::map<std::string_view, std::size_t> sizes;
  ++sizes[this->self.failure_domain];
  for (const auto& [name, peer] : this->peers) {
    sizes[peer.failure_domain] += peer.has_left ? 0 : 1;
  }
  std::size_t domains = sizes.size();
  if (now - this->started_at < kRegistrationTime) {
    domains = std::max(domains, this->known_domains);
  }
  const auto weight = [&](std::string_view domain) {
    return 1 /
           (static_cast<double>(domains) * static_cast<double>(sizes[domain]));
  };
  this->own_weight = weight(this->self.failure_domain);
  for (auto& [name, peer] : this->peers) {
    peer.weight = peer.has_left ? 0 : weight(peer.failure_domain);
  }
}

bool AccountLimiter::IsHeard(const Peer& peer, TimePoint now) const {
  return peer.heard_at != TimePoint{} && !peer.is_stale && !peer.has_left &&
         now - peer.heard_at <= kSilenceLimit;
}

void AccountLimiter::Tick(TimePoint now) {
  if (now - std::exchange(this->last_tick, now) > kPauseGap) {
    this->distrusts_until = now + kBacklogTime;
    for (auto& [name, peer] : this->peers) {
      peer.is_stale = true;
    }
  }
}

double AccountLimiter::HeardShare(TimePoint now) const {
  double share = this->own_weight;
  for (const auto& [name, peer] : this->peers) {
    if (this->IsHeard(peer, now)) {
      share += peer.weight;
    }
  }
  return share;
}

double AccountLimiter::Slack(const Account& account) const {
  const double window = Seconds(this->tolerance.window);
  return this->tolerance.excess *
             (account.limits.rate * window + account.limits.burst) +
         this->tolerance.margin;
}

double AccountLimiter::Capacity(const Account& account, TimePoint now) const {
  return (account.limits.burst + kBurstPart * this->Slack(account)) *
         this->HeardShare(now);
}

// The servers may together have as many unconfirmed requests as the bucket has
// room for, plus the part of the tolerance that is meant for them. Thus the
// limit holds also if the link to another domain fails and before that is
// detected.
double AccountLimiter::UnconfirmedLimit(const Account& account,
                                        TimePoint now) const {
  // Without peers that are heard, every server on its own has the minimum.
  bool confirmed = this->peers.empty();
  for (const auto& [name, peer] : this->peers) {
    if (this->IsHeard(peer, now)) {
      confirmed = true;
    }
  }
  for (const auto& [name, peer] : this->peers) {
    if (this->IsHeard(peer, now) &&
        now - peer.confirmed_at > kConfirmationAge) {
      confirmed = false;
    }
  }
  const double room = account.level + account.unconfirmed +
                      kUnconfirmedPart * this->Slack(account);
  return std::max(confirmed ? kMinUnconfirmed : 1, room * this->own_weight);
}

bool AccountLimiter::IsSynchronized(TimePoint now) const {
  return this->adopted || now - this->started_at >= this->tolerance.window;
}

AccountLimiter::Account& AccountLimiter::Find(std::string_view name,
                                              const AccountLimits& limits,
                                              std::uint64_t version,
                                              TimePoint now) {
  auto found = this->accounts.find(name);
  if (found == this->accounts.end()) {
    found = this->accounts.emplace(std::string(name), Account()).first;
    Account& created = found->second;
    created.limits = limits;
    created.version = version;
    created.created_at = now;
    created.updated_at = now;
    created.level = this->IsSynchronized(now)
                        ? this->Capacity(created, now)
                        : kStartPart * this->Slack(created) * this->own_weight;
  }
  Account& account = found->second;
  this->Refill(account, now);
  if (version >= account.version) {
    account.limits = limits;
    account.version = version;
    account.level = std::min(account.level, this->Capacity(account, now));
  }
  return account;
}

void AccountLimiter::Refill(Account& account, TimePoint now) {
  const Duration elapsed = std::max(Duration::zero(), now - account.updated_at);
  const double added = account.limits.rate * Seconds(elapsed);
  account.level += added;
  for (auto& [name, peer] : this->peers) {
    if (!this->IsHeard(peer, now) && !peer.has_left) {
      // Includes the time between its last report and the detection.
      PeerUsage& usage = account.peers[name];
      const TimePoint since = std::max({usage.assumed_until, peer.heard_at,
                                        account.created_at, peer.listed_at});
      const double assumed = account.limits.rate * peer.weight *
                             Seconds(std::max(Duration::zero(), now - since));
      usage.assumed_until = now;
      usage.assumed += assumed;
      account.level -= assumed;
      peer.was_silent = true;
    }
  }
  const double floor = -(account.limits.rate * Seconds(this->tolerance.window) +
                         account.limits.burst);
  // Servers that do not hear this one assume that it uses its share.
  account.unconfirmed =
      std::max(0.0, account.unconfirmed - added * this->own_weight);
  // Unconfirmed requests were taken from the share, in the proportion of the
  // servers that are not heard: of 12 servers that are all isolated, 165
  // requests in a window ran otherwise (bound 165.2, 400 requests per second).
  const double capacity =
      this->Capacity(account, now) -
      account.unconfirmed * std::max(0.0, 1 - this->HeardShare(now));
  account.level = std::max(floor, std::min(account.level, capacity));
  account.updated_at = now;
}

LimitDecision AccountLimiter::Admit(std::string_view name,
                                    const AccountLimits& limits,
                                    std::uint64_t version,
                                    TimePoint now) {
  Account& account = this->Find(name, limits, version, now);
  this->UpdateUnconfirmed(account, now);
  const double limit = this->UnconfirmedLimit(account, now);
  if (account.level < 1 || account.unconfirmed + 1 > limit) {
    const bool unconfirmed = account.level >= 1;
    this->is_urgent = this->is_urgent || unconfirmed;
    return {.admitted = false,
            .unconfirmed = unconfirmed,
            .retry_after = this->RetryAfter(account, now)};
  }
  account.level -= 1;
  account.unconfirmed += 1;
  ++account.total;
  this->is_urgent = this->is_urgent || account.unconfirmed + 1 > limit;
  return {.admitted = true};
}

milliseconds AccountLimiter::RetryAfter(const Account& account, TimePoint now) {
  const double rate =
      std::max(account.limits.rate * this->HeardShare(now), 1e-6);
  const double jitter =
      std::uniform_real_distribution<double>(1, 1 + kMaxJitter)(this->random);
  const double wait =
      std::max(std::max(0.0, 1 - account.level) / rate * 1'000 * jitter,
               static_cast<double>(kMinRetryAfter.count()) * jitter);
  return std::min(kMaxRetryAfter,
                  milliseconds(static_cast<std::int64_t>(
                      std::min(wait, 1.0 * kMaxRetryAfter.count()))));
}

void AccountLimiter::GiveBack(std::string_view name,
                              std::uint32_t count,
                              TimePoint now) {
  const auto found = this->accounts.find(name);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  this->Refill(account, now);
  account.total -= count;
  account.level = std::min(account.level + count, this->Capacity(account, now));
  account.unconfirmed = std::max(0.0, account.unconfirmed - count);
}

void AccountLimiter::UpdateUnconfirmed(Account& account, TimePoint now) {
  bool any = this->peers.empty();
  std::int64_t confirmed = account.total;
  for (const auto& [name, peer] : this->peers) {
    if (this->IsHeard(peer, now)) {
      any = true;
      confirmed = std::min(confirmed, account.peers[name].confirmed);
    }
  }
  if (any) {
    account.unconfirmed = std::min(
        account.unconfirmed, static_cast<double>(account.total - confirmed));
  }
}

bool AccountLimiter::HasNews(const std::string& name, const Peer& peer) const {
  if (peer.confirmed_epoch == 0) {
    return true;
  }
  return std::any_of(
      this->accounts.begin(), this->accounts.end(), [&name](const auto& entry) {
        const auto found = entry.second.peers.find(name);
        const std::int64_t confirmed =
            found == entry.second.peers.end() ? 0 : found->second.confirmed;
        return confirmed != entry.second.total;
      });
}

std::vector<std::string> AccountLimiter::DueReports(TimePoint now) {
  const milliseconds interval =
      std::exchange(this->is_urgent, false) ? kUrgentInterval : kReportInterval;
  std::vector<std::string> due;
  for (const auto& [name, peer] : this->peers) {
    if (peer.has_left) {
      continue;
    }
    const Duration age = now - peer.reported_at;
    if (age >= kKeepAliveInterval ||
        (age >= interval && this->HasNews(name, peer))) {
      due.push_back(name);
    }
  }
  return due;
}

QuotaReport AccountLimiter::ReportFor(std::string_view peer_name,
                                      TimePoint now) {
  QuotaReport report;
  report.epoch = this->own_epoch;
  report.uptime =
      std::chrono::duration_cast<milliseconds>(now - this->started_at);
  report.synchronized = this->IsSynchronized(now);
  const auto peer = this->peers.find(peer_name);
  report.complete =
      peer == this->peers.end() || peer->second.confirmed_epoch == 0;
  if (peer != this->peers.end()) {
    peer->second.reported_at = now;
  }
  for (auto& [name, account] : this->accounts) {
    if (report.complete ||
        account.peers[std::string(peer_name)].confirmed != account.total) {
      this->Refill(account, now);
      report.accounts.push_back({.account = name,
                                 .total = account.total,
                                 .level = account.level,
                                 .limits = account.limits,
                                 .version = account.version});
    }
  }
  return report;
}

// A server that started later than its peer knows nothing of the requests
// before. The levels of the peer include those of all others.
void AccountLimiter::Adopt(const QuotaReport& report, TimePoint now) {
  this->adopted = true;
  for (const AccountUsage& usage : report.accounts) {
    Account& account =
        this->Find(usage.account, usage.limits, usage.version, now);
    account.level = std::min(usage.level - static_cast<double>(account.total),
                             this->Capacity(account, now));
  }
}

bool AccountLimiter::OnReport(std::string_view peer_name,
                              const QuotaReport& report,
                              TimePoint now) {
  const auto found = this->peers.find(peer_name);
  if (found == this->peers.end() ||
      (found->second.epoch != report.epoch && !report.complete)) {
    return false;
  }
  Peer& peer = found->second;
  const std::string name(peer_name);
  const bool is_older =
      report.uptime >
      std::chrono::duration_cast<milliseconds>(now - this->started_at);
  const bool may_adopt = peer.epoch == 0 && is_older && report.synchronized;
  const bool restarted =
      std::exchange(peer.epoch, report.epoch) != report.epoch;
  // The time of silence has to be charged before the peer counts as heard.
  if (peer.was_silent || !this->IsHeard(peer, now)) {
    for (auto& [account_name, account] : this->accounts) {
      this->Refill(account, now);
    }
  }
  if (now >= this->distrusts_until) {
    peer.heard_at = now;
    peer.is_stale = false;
    peer.was_silent = false;
  }
  if (std::exchange(peer.has_left, report.leaving) != report.leaving) {
    this->ComputeWeights(now);
  }
  if (restarted) {
    for (auto& [account_name, account] : this->accounts) {
      account.peers[name].seen = 0;
      account.peers[name].reported = false;
    }
  }
  if (may_adopt && !this->IsSynchronized(now)) {
    this->Adopt(report, now);
  }
  for (const AccountUsage& usage : report.accounts) {
    Account& account =
        this->Find(usage.account, usage.limits, usage.version, now);
    PeerUsage& known = account.peers[name];
    const auto added = static_cast<double>(
        usage.total - std::exchange(known.seen, usage.total));
    // The first total of a server that started before this one includes usage
    // of any age.
    const bool is_old_usage = !std::exchange(known.reported, true) && is_older;
    // What was assumed beyond the actual usage is not returned: it may have
    // been long ago, while the usage may be recent.
    if (!is_old_usage) {
      account.level -= added < 0 ? added : std::max(0.0, added - known.assumed);
    }
  }
  for (auto& [account_name, account] : this->accounts) {
    account.peers[name].assumed = 0;
    account.level = std::min(account.level, this->Capacity(account, now));
  }
  return true;
}

void AccountLimiter::OnConfirmed(std::string_view peer_name,
                                 std::uint64_t peer_epoch,
                                 bool accepted,
                                 const QuotaReport& sent,
                                 TimePoint now) {
  const auto found = this->peers.find(peer_name);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  const std::string name(peer_name);
  if (!accepted ||
      (peer.confirmed_epoch != 0 && peer.confirmed_epoch != peer_epoch)) {
    // The next report has to be complete.
    peer.confirmed_epoch = 0;
    for (auto& [account_name, account] : this->accounts) {
      account.peers[name].confirmed = 0;
    }
    return;
  }
  peer.confirmed_epoch = peer_epoch;
  peer.confirmed_at = now;
  for (const AccountUsage& usage : sent.accounts) {
    const auto account = this->accounts.find(usage.account);
    if (account != this->accounts.end()) {
      account->second.peers[name].confirmed = usage.total;
    }
  }
}

std::vector<std::string> AccountLimiter::SilentDomains(TimePoint now) const {
  std::set<std::string> silent;
  for (const auto& [name, peer] : this->peers) {
    silent.insert(peer.failure_domain);
  }
  silent.erase(this->self.failure_domain);
  for (const auto& [name, peer] : this->peers) {
    if (this->IsHeard(peer, now)) {
      silent.erase(peer.failure_domain);
    }
  }
  return {silent.begin(), silent.end()};
}

}  // namespace auburnyard
