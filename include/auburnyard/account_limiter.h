#ifndef AUBURNYARD_ACCOUNT_LIMITER_H_
#define AUBURNYARD_ACCOUNT_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/client_account.h"
#include "auburnyard/clock.h"

namespace auburnyard {

/// Tolerance of limits: in any window, (rate x window + burst) x (1 + excess) +
/// margin requests of an account may run.
struct LimitTolerance {
  std::chrono::seconds window{5};
  double excess = 0;
  double margin = 0;  ///< requests
};

/// A process that decides on requests of accounts.
struct QuotaPeer {
  std::string name;
  std::string failure_domain;
};

/// Usage of one account at one quota server.
struct AccountUsage {
  std::string account;
  std::int64_t total = 0;  ///< admitted and not returned since the start
  double level = 0;        ///< tokens that the sender assumes to be left
  AccountLimits limits;
  std::uint64_t version = 0;  ///< of the configuration with these limits
};

/// What a quota server tells another one.
struct QuotaReport {
  std::uint64_t epoch = 0;  ///< identifies the start of the sender
  std::chrono::milliseconds uptime{0};
  bool synchronized = false;  ///< whether the sender's levels may be adopted
  bool complete = false;      ///< whether it has all accounts of the sender
  /// Whether the sender admits no more requests, so that it needs no share.
  bool leaving = false;
  std::vector<AccountUsage> accounts;
};

struct LimitDecision {
  bool admitted = false;
  /// The account has room, but other servers may not know its usage yet.
  bool unconfirmed = false;
  std::chrono::milliseconds retry_after{0};  ///< unless admitted
};

/// Token bucket per account, replicated to all quota servers with a delay. Each
/// server subtracts what it admits at once and what others admit when they
/// report it. A server that is not heard is assumed to use its share.
class AccountLimiter {
 public:
  /// `epoch` must differ for each start of the process.
  AccountLimiter(QuotaPeer self,
                 LimitTolerance tolerance,
                 std::uint64_t epoch,
                 TimePoint now);

  void SetTolerance(LimitTolerance changed) { this->tolerance = changed; }
  /// Sets the other quota servers. Those that are missing keep their shares for
  /// a retention period, since hosts may still ask them. `min_domains`:
  /// failure domains that exist, for the time until all have registered.
  void SetPeers(const std::vector<QuotaPeer>& others,
                std::size_t min_domains,
                TimePoint now);

  /// To be called before any message is handled, and at least every 250 ms.
  /// After a longer gap the process was paused: reports that have waited since
  /// then do not make a peer count as heard.
  void Tick(TimePoint now);

  /// `version`: of the configuration that has the limits. The limits of the
  /// newest version that was seen apply.
  LimitDecision Admit(std::string_view account,
                      const AccountLimits& limits,
                      std::uint64_t version,
                      TimePoint now);
  /// Returns admitted requests that did not run.
  void GiveBack(std::string_view account, std::uint32_t count, TimePoint now);

  /// Peers to which a report is due. To be called at least every 50 ms, and
  /// after a decision if `urgent()`.
  std::vector<std::string> DueReports(TimePoint now);
  /// Usage that the peer has not confirmed yet.
  QuotaReport ReportFor(std::string_view peer, TimePoint now);
  /// Whether an account may soon be refused only because its usage is
  /// unconfirmed, so that reports should not wait for their interval.
  bool urgent() const { return this->is_urgent; }
  /// Returns false if the report cannot be used: its sender is unknown, or it
  /// is the first one of a start and not complete.
  bool OnReport(std::string_view peer,
                const QuotaReport& report,
                TimePoint now);
  /// The peer, which has the epoch `peer_epoch`, has received `sent` and
  /// returned whether it could use it.
  void OnConfirmed(std::string_view peer,
                   std::uint64_t peer_epoch,
                   bool accepted,
                   const QuotaReport& sent,
                   TimePoint now);

  std::uint64_t epoch() const { return this->own_epoch; }
  /// Failure domains none of whose quota servers is heard.
  std::vector<std::string> SilentDomains(TimePoint now) const;

 private:
  struct Peer {
    std::string failure_domain;
    double weight = 0;      // share of the limits
    TimePoint listed_at{};  // as a quota server
    TimePoint heard_at{};
    TimePoint confirmed_at{};
    TimePoint reported_at{};  // to this peer
    bool was_silent = true;
    bool is_stale = false;    // this process was paused since its last report
    bool has_left = false;    // by its last report
    std::uint64_t epoch = 0;  // of its last report
    std::uint64_t confirmed_epoch = 0;  // of its last confirmation
    TimePoint removed_at = TimePoint::max();
  };
  // Usage of an account at a peer.
  struct PeerUsage {
    std::int64_t seen = 0;       // its total in its last report
    bool reported = false;       // since the start of the peer
    std::int64_t confirmed = 0;  // own total that it confirmed
    double assumed = 0;          // subtracted since it is silent
    TimePoint assumed_until{};
  };
  struct Account {
    AccountLimits limits;
    std::uint64_t version = 0;
    double level = 0;
    double unconfirmed = 0;  // own requests that peers may not know
    std::int64_t total = 0;
    TimePoint created_at{};
    TimePoint updated_at{};
    std::map<std::string, PeerUsage, std::less<>> peers;
  };

  // Whether the peer lacks usage of any account, or needs a complete report.
  bool HasNews(const std::string& name, const Peer& peer) const;
  bool IsHeard(const Peer& peer, TimePoint now) const;
  // Share of the limits of the servers that are heard, this one included.
  double HeardShare(TimePoint now) const;
  void ComputeWeights(TimePoint now);
  double Slack(const Account& account) const;
  double Capacity(const Account& account, TimePoint now) const;
  double UnconfirmedLimit(const Account& account, TimePoint now) const;
  Account& Find(std::string_view name,
                const AccountLimits& limits,
                std::uint64_t version,
                TimePoint now);
  void Refill(Account& account, TimePoint now);
  void UpdateUnconfirmed(Account& account, TimePoint now);
  void Adopt(const QuotaReport& report, TimePoint now);
  bool IsSynchronized(TimePoint now) const;
  std::chrono::milliseconds RetryAfter(const Account& account, TimePoint now);

  QuotaPeer self;
  LimitTolerance tolerance;
  std::uint64_t own_epoch;
  TimePoint started_at;
  bool adopted = false;
  bool is_urgent = false;
  TimePoint last_tick;
  TimePoint distrusts_until{};  // reports may have waited during a pause
  double own_weight = 1;
  std::size_t known_domains = 1;
  std::map<std::string, Peer, std::less<>> peers;
  std::map<std::string, Account, std::less<>> accounts;
  std::mt19937_64 random;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ACCOUNT_LIMITER_H_
