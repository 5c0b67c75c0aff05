#include "auburnyard/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "test/property.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr LimitTolerance kTolerance{.excess = 0.1, .margin = 20};
constexpr AccountLimits kLimits{.rate = 22, .burst = 22};
constexpr double kBurstRate = 105;  // requests per second, 7.5 times the usual
constexpr std::size_t kDomains = 6;
constexpr std::size_t kServersPerDomain = 2;
constexpr std::size_t kServers = kDomains * kServersPerDomain;
constexpr milliseconds kSweep{50};

double Bound(const AccountLimits& limits) {
  return (limits.rate * 5 + limits.burst) * (1 + kTolerance.excess) +
         kTolerance.margin;
}

// Quota servers of six domains in three regions, and the links between them.
class QuotaFleet {
 public:
  explicit QuotaFleet(std::uint64_t seed, bool synchronized = true)
      : random(seed) {
    for (std::size_t i = 0; i < kServers; ++i) {
      this->members.emplace_back();
      this->present.insert(i);
    }
    for (std::size_t i = 0; i < kServers; ++i) {
      this->Start(i);
    }
    if (synchronized) {
      this->RunUntil(this->now + std::chrono::seconds(6));
    }
  }

  void At(TimePoint time, std::function<void()> run) {
    this->events.emplace(time, std::move(run));
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

  void Start(std::size_t index) {
    Member& member = this->members.at(index);
    member.limiter = std::make_unique<AccountLimiter>(
        Self(index), kTolerance, ++this->epochs, this->now);
    ++member.generation;
    this->ShowPeers(index);
    std::uniform_int_distribution<int> phase(0, 49);
    this->Sweep(index, member.generation, milliseconds(phase(this->random)));
  }
  void Crash(std::size_t index) {
    this->members.at(index).limiter.reset();
    ++this->members.at(index).generation;
  }
  void Pause(std::size_t index, milliseconds duration) {
    this->members.at(index).paused_until = this->now + duration;
  }
  void Leave(std::size_t index) {
    this->Crash(index);
    this->present.erase(index);
  }
  // The other servers learn of it with a delay.
  void Join(std::size_t index) {
    this->present.insert(index);
    this->Start(index);
    std::uniform_int_distribution<int> delay(0, 2'000);
    for (std::size_t i = 0; i < kServers; ++i) {
      this->At(this->now + milliseconds(delay(this->random)),
               [this, i] { this->ShowPeers(i); });
    }
  }
  // Domains of different groups do not reach each other.
  void Partition(std::vector<int> groups) { this->group = std::move(groups); }

  // Asks the servers of a domain in the given order, as a host does.
  bool Ask(std::size_t domain,
           bool second_first,
           const std::string& account,
           const AccountLimits& limits,
           std::uint64_t version = 1) {
    for (std::size_t i = 0; i < kServersPerDomain; ++i) {
      const std::size_t index =
          domain * kServersPerDomain + (second_first ? 1 - i : i);
      Member& member = this->members.at(index);
      if (member.limiter == nullptr) {
        continue;
      }
      if (member.paused_until > this->now) {
        // Handled after the pause, when the host has asked another server.
        this->At(member.paused_until, [this, index, account, limits, version] {
          if (this->members.at(index).limiter != nullptr) {
            this->Decide(index, account, limits, version);
          }
        });
        continue;
      }
      return this->Decide(index, account, limits, version);
    }
    return false;
  }

  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random;
  std::size_t reports = 0;

 private:
  struct Member {
    std::unique_ptr<AccountLimiter> limiter;
    std::uint64_t generation = 0;
    TimePoint paused_until{};
  };

  static std::size_t DomainOf(std::size_t index) {
    return index / kServersPerDomain;
  }
  static QuotaPeer Self(std::size_t index) {
    return {"s" + std::to_string(index), "d" + std::to_string(DomainOf(index))};
  }
  static Duration Latency(std::size_t from, std::size_t to) {
    const std::size_t from_domain = DomainOf(from);
    const std::size_t to_domain = DomainOf(to);
    if (from_domain == to_domain) {
      return std::chrono::microseconds(200);
    }
    return from_domain / 2 == to_domain / 2 ? std::chrono::microseconds(900)
                                            : std::chrono::microseconds(20'000);
  }
  bool Linked(std::size_t from, std::size_t to) const {
    return this->group.empty() ||
           this->group.at(DomainOf(from)) == this->group.at(DomainOf(to));
  }
  void ShowPeers(std::size_t index) {
    if (this->members.at(index).limiter == nullptr) {
      return;
    }
    std::vector<QuotaPeer> peers;
    for (const std::size_t other : this->present) {
      peers.push_back(Self(other));
    }
    this->members.at(index).limiter->SetPeers(peers, kDomains, this->now);
  }
  bool Decide(std::size_t index,
              const std::string& account,
              const AccountLimits& limits,
              std::uint64_t version) {
    AccountLimiter& limiter = *this->members.at(index).limiter;
    limiter.Tick(this->now);
    const bool admitted =
        limiter.Admit(account, limits, version, this->now).admitted;
    if (limiter.urgent()) {
      this->SendReports(index);
    }
    return admitted;
  }
  void Sweep(std::size_t index, std::uint64_t generation, Duration delay) {
    this->At(this->now + delay, [this, index, generation] {
      Member& member = this->members.at(index);
      if (member.generation != generation) {
        return;
      }
      if (member.paused_until > this->now) {
        this->Sweep(index, generation, member.paused_until - this->now);
        return;
      }
      member.limiter->Tick(this->now);
      this->ShowPeersIfDue(index);
      this->SendReports(index);
      this->Sweep(index, generation, kSweep);
    });
  }
  // Ends the time in which domains that have not registered keep their share.
  void ShowPeersIfDue(std::size_t index) {
    if (++this->sweeps % 20 == 0) {
      this->members.at(index).limiter->SetPeers(
          [this] {
            std::vector<QuotaPeer> peers;
            for (const std::size_t other : this->present) {
              peers.push_back(Self(other));
            }
            return peers;
          }(),
          kDomains, this->now);
    }
  }
  void SendReports(std::size_t index) {
    AccountLimiter& limiter = *this->members.at(index).limiter;
    for (const std::string& name : limiter.DueReports(this->now)) {
      const std::size_t to = std::stoul(name.substr(1));
      ++this->reports;
      this->Deliver(index, to, limiter.ReportFor(name, this->now));
    }
  }
  void Deliver(std::size_t from, std::size_t to, const QuotaReport& report) {
    if (!this->Linked(from, to)) {
      return;
    }
    this->At(this->now + Latency(from, to),
             [this, from, to, report] { this->Receive(from, to, report); });
  }
  void Receive(std::size_t from, std::size_t to, const QuotaReport& report) {
    Member& member = this->members.at(to);
    if (member.limiter == nullptr || !this->Linked(from, to)) {
      return;
    }
    if (member.paused_until > this->now) {
      this->At(member.paused_until,
               [this, from, to, report] { this->Receive(from, to, report); });
      return;
    }
    member.limiter->Tick(this->now);
    const bool accepted =
        member.limiter->OnReport(Self(from).name, report, this->now);
    const std::uint64_t epoch = member.limiter->epoch();
    this->At(this->now + Latency(to, from), [this, from, to, report, accepted,
                                             epoch] {
      Member& sender = this->members.at(from);
      if (sender.limiter == nullptr || sender.paused_until > this->now ||
          sender.limiter->epoch() != report.epoch || !this->Linked(to, from)) {
        return;
      }
      sender.limiter->Tick(this->now);
      sender.limiter->OnConfirmed(Self(to).name, epoch, accepted, report,
                                  this->now);
    });
  }

  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Member> members;
  std::set<std::size_t> present;
  std::vector<int> group;  // by domain; empty: all linked
  std::uint64_t epochs = 0;
  std::uint64_t sweeps = 0;
};

// Admitted requests of one account, and their greatest number in a window.
class AdmittedRequests {
 public:
  void Add(TimePoint time) {
    this->times.push_back(time);
    while (this->times.front() <= time - kTolerance.window) {
      this->times.pop_front();
    }
    this->greatest = std::max(this->greatest, this->times.size());
  }
  std::size_t CountAt(TimePoint time) {
    while (!this->times.empty() &&
           this->times.front() <= time - kTolerance.window) {
      this->times.pop_front();
    }
    return this->times.size();
  }
  std::size_t max_per_window() const { return this->greatest; }

 private:
  std::deque<TimePoint> times;
  std::size_t greatest = 0;
};

struct Load {
  double rate = kBurstRate;
  bool both_servers = false;
  int only_domain = -1;  // -1: all
  AccountLimits limits = kLimits;
};

// Random arrivals of one account. The shared state lives as long as the fleet.
void Arrive(QuotaFleet& fleet,
            const Load& load,
            TimePoint end,
            const std::shared_ptr<AdmittedRequests>& admitted) {
  std::exponential_distribution<double> gap(load.rate);
  const TimePoint next =
      fleet.now + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(gap(fleet.random)));
  if (next > end) {
    return;
  }
  fleet.At(next, [&fleet, load, end, admitted] {
    const std::size_t domain = load.only_domain >= 0
                                   ? static_cast<std::size_t>(load.only_domain)
                                   : fleet.random() % kDomains;
    const bool second = load.both_servers && fleet.random() % 2 == 0;
    if (fleet.Ask(domain, second, "a", load.limits)) {
      admitted->Add(fleet.now);
    }
    Arrive(fleet, load, end, admitted);
  });
}

std::size_t MaxPerWindow(
    QuotaFleet& fleet,
    const Load& load,
    std::chrono::seconds duration = std::chrono::seconds(12)) {
  const auto admitted = std::make_shared<AdmittedRequests>();
  const TimePoint end = fleet.now + duration;
  Arrive(fleet, load, end, admitted);
  fleet.RunUntil(end);
  return admitted->max_per_window();
}

constexpr milliseconds kQuietTime{600};

// A random fault, half of the time within the quiet time, so that it is not
// detected yet when the load begins.
void PlanFault(QuotaFleet& fleet) {
  const milliseconds delay(fleet.random() % 2 == 0
                               ? fleet.random() % kQuietTime.count()
                               : fleet.random() % 9'000);
  const std::size_t server = fleet.random() % kServers;
  const milliseconds duration(50 + fleet.random() % 4'000);
  const TimePoint begin = fleet.now + delay;
  switch (fleet.random() % 6) {
    case 0:
      fleet.At(begin, [&fleet, server] { fleet.Crash(server); });
      fleet.At(begin + duration, [&fleet, server] { fleet.Start(server); });
      break;
    case 1:
      fleet.At(begin,
               [&fleet, server, duration] { fleet.Pause(server, duration); });
      break;
    case 2: {  // one domain is cut off
      std::vector<int> groups(kDomains, 0);
      groups.at(server / kServersPerDomain) = 1;
      fleet.At(begin, [&fleet, groups] { fleet.Partition(groups); });
      fleet.At(begin + duration, [&fleet] { fleet.Partition({}); });
      break;
    }
    case 3: {  // any groups
      std::vector<int> groups;
      for (std::size_t i = 0; i < kDomains; ++i) {
        groups.push_back(static_cast<int>(fleet.random() % kDomains));
      }
      fleet.At(begin, [&fleet, groups] { fleet.Partition(groups); });
      fleet.At(begin + duration, [&fleet] { fleet.Partition({}); });
      break;
    }
    case 4:
      fleet.At(begin, [&fleet, server] { fleet.Leave(server); });
      fleet.At(begin + duration, [&fleet, server] { fleet.Join(server); });
      break;
    default:
      fleet.At(begin, [&fleet] {
        for (std::size_t i = 0; i < kServers; ++i) {
          fleet.Crash(i);
        }
      });
      fleet.At(begin + duration, [&fleet] {
        for (std::size_t i = 0; i < kServers; ++i) {
          fleet.Start(i);
        }
      });
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_limiter_test)

// Guards against admitting more than the limit in total under any combination
// of faults, also of small accounts and at rates far above the limit.
BOOST_AUTO_TEST_CASE(FaultsDoNotExceedTheLimit) {
  double greatest = 0;
  BOOST_TEST(
      test::CounterExample(1, [&greatest] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 31);
        QuotaFleet fleet(seed, /*synchronized=*/seed % 8 != 0);
        Load load;
        load.both_servers = fleet.random() % 2 == 0;
        if (fleet.random() % 4 == 0) {
          load.only_domain = static_cast<int>(fleet.random() % kDomains);
        }
        if (fleet.random() % 3 == 0) {
          load.rate = 400;
        }
        if (fleet.random() % 3 == 0) {
          load.limits.rate = static_cast<double>(1 + fleet.random() % 80) / 2;
          load.limits.burst = load.limits.rate;
        }
        for (std::size_t i = 0, faults = fleet.random() % 4; i < faults; ++i) {
          PlanFault(fleet);
        }
        fleet.RunUntil(fleet.now + kQuietTime);
        const auto found = static_cast<double>(MaxPerWindow(fleet, load));
        greatest = std::max(greatest, found / Bound(load.limits));
        RC_LOG() << "requests per second " << load.rate << ", limit "
                 << load.limits.rate << ", admitted in a window " << found;
        RC_ASSERT(found <= Bound(load.limits));
      }) == "");
  BOOST_TEST_MESSAGE("greatest share of the bound " << greatest);
}

// Guards against a domain that is cut off during a burst using more than the
// other domains leave to it.
BOOST_AUTO_TEST_CASE(ABurstWhileADomainIsCutOffStaysBelowTheLimit) {
  for (const milliseconds begin : {milliseconds(0), milliseconds(2'000)}) {
    QuotaFleet fleet(7);
    fleet.At(fleet.now + begin, [&fleet] {
      fleet.Partition({0, 1, 1, 1, 1, 1});
    });
    const std::size_t found = MaxPerWindow(fleet, {});
    BOOST_TEST_MESSAGE("greatest number per window " << found);
    BOOST_TEST(static_cast<double>(found) <= Bound(kLimits));
    BOOST_TEST(static_cast<double>(found) >= kLimits.rate * 5);
  }
}

// Guards against full buckets after a restart of all servers.
BOOST_AUTO_TEST_CASE(ARestartOfAllServersStaysBelowTheLimit) {
  QuotaFleet fleet(8);
  fleet.At(fleet.now + milliseconds(4'900), [&fleet] {
    for (std::size_t i = 0; i < kServers; ++i) {
      fleet.Start(i);
    }
  });
  const std::size_t found = MaxPerWindow(fleet, {.both_servers = true});
  BOOST_TEST_MESSAGE("greatest number per window " << found);
  BOOST_TEST(static_cast<double>(found) <= Bound(kLimits));
}

// Guards against two servers of one domain both using the share of the domain,
// and against the use of full buckets on all sides of broken links before these
// are detected.
BOOST_AUTO_TEST_CASE(IsolatedServersShareTheLimit) {
  for (const double rate : {kBurstRate, 400.0}) {
    QuotaFleet fleet(9);
    fleet.Partition({0, 1, 2, 3, 4, 5});
    const std::size_t found =
        MaxPerWindow(fleet, {.rate = rate, .both_servers = true});
    BOOST_TEST_MESSAGE("greatest number per window " << found);
    BOOST_TEST(static_cast<double>(found) <= Bound(kLimits));
  }
}

// Guards against the use of tokens that a higher limit left in the buckets, and
// against servers that still have the former configuration.
BOOST_AUTO_TEST_CASE(ALoweredLimitTakesEffectAtOnce) {
  QuotaFleet fleet(10);
  const AccountLimits lower{.rate = 2, .burst = 2};
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    fleet.Ask(domain, false, "a", kLimits, 1);
  }
  fleet.RunUntil(fleet.now + std::chrono::seconds(2));
  AdmittedRequests admitted;
  for (int i = 0; i < 1'200; ++i) {
    // Every tenth question comes from a host with the former limit.
    const bool former = i > 100 && i % 10 == 0;
    if (fleet.Ask(fleet.random() % kDomains, false, "a",
                  former ? kLimits : lower, former ? 1 : 2)) {
      admitted.Add(fleet.now);
    }
    fleet.RunUntil(fleet.now + milliseconds(10));
  }
  BOOST_TEST_MESSAGE("greatest number per window "
                     << admitted.max_per_window());
  BOOST_TEST(static_cast<double>(admitted.max_per_window()) <= Bound(lower));
}

// Guards against refusals of ordinary traffic: 48 requests per second from 76
// accounts at 68 hosts, with limits of 1.6 times the usual rate. An equal
// division between the hosts is simulated for comparison.
// One server is down for the whole time in the second run.
BOOST_AUTO_TEST_CASE(OrdinaryTrafficIsSeldomRefused) {
  for (const bool crashed : {false, true}) {
    constexpr std::size_t kAccounts = 76;
    constexpr std::size_t kHosts = 68;
    constexpr double kTotalRate = 48;
    constexpr double kHeadroom = 1.6;
    struct HostBucket {
      double level = 1;
      TimePoint updated_at{};
    };
    QuotaFleet fleet(11);
    std::vector<double> weights;
    for (std::size_t i = 0; i < kAccounts; ++i) {
      weights.push_back(1 / std::pow(static_cast<double>(i + 1), 1.1));
    }
    double sum = 0;
    for (const double weight : weights) {
      sum += weight;
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    std::exponential_distribution<double> gap(kTotalRate);
    std::vector<AdmittedRequests> admitted(kAccounts);
    std::map<std::pair<std::size_t, std::size_t>, HostBucket> divided;
    std::size_t total = 0;
    std::size_t refused = 0;
    std::size_t refused_by_division = 0;
    const TimePoint end = fleet.now + std::chrono::seconds(300);
    fleet.reports = 0;
    if (crashed) {
      fleet.Crash(2);
    }
    while (fleet.now < end) {
      fleet.RunUntil(fleet.now +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(gap(fleet.random))));
      const std::size_t account = pick(fleet.random);
      const std::size_t host = fleet.random() % kHosts;
      const double rate = kHeadroom * kTotalRate * weights.at(account) / sum;
      const AccountLimits limits{.rate = rate, .burst = rate};
      const auto used =
          static_cast<double>(admitted.at(account).CountAt(fleet.now));
      ++total;
      if (fleet.Ask(host % kDomains, false, std::to_string(account), limits)) {
        admitted.at(account).Add(fleet.now);
      } else if (used + 1 <= limits.rate * 5 + limits.burst) {
        ++refused;
      }
      HostBucket& bucket = divided[{account, host}];
      if (bucket.updated_at != TimePoint{}) {
        bucket.level = std::min(
            std::max(1.0, limits.burst / kHosts),
            bucket.level +
                rate / kHosts *
                    std::chrono::duration<double>(fleet.now - bucket.updated_at)
                        .count());
      }
      bucket.updated_at = fleet.now;
      if (bucket.level >= 1) {
        bucket.level -= 1;
      } else {
        ++refused_by_division;
      }
    }
    const double share =
        static_cast<double>(refused) / static_cast<double>(total);
    const double division_share =
        static_cast<double>(refused_by_division) / static_cast<double>(total);
    BOOST_TEST_MESSAGE("requests " << total << ", refused below the limit "
                                   << share << ", by equal division "
                                   << division_share << ", reports per second "
                                   << fleet.reports / 300);
    BOOST_TEST(share < 0.01);
    BOOST_TEST(share < division_share);
  }
}

// Guards against a server that is added and charged for the time before, so
// that an account is refused although it used little.
BOOST_AUTO_TEST_CASE(AddedServerIsNotChargedForTheTimeBefore) {
  constexpr AccountLimits kLimits{.rate = 20, .burst = 20};
  TimePoint now(std::chrono::seconds(1'000));
  AccountLimiter limiter({"own", "d0"}, {.excess = 0.1, .margin = 20}, 1, now);
  std::vector<QuotaPeer> others = {{"p0", "d1"}};
  std::size_t admitted = 0;
  for (int step = 0; step < 800; ++step) {
    now += std::chrono::milliseconds(50);
    limiter.Tick(now);
    if (step == 760) {
      others.push_back({"p1", "d0"});
    }
    limiter.SetPeers(others, 2, now);
    limiter.OnReport("p0", {.epoch = 7, .complete = true}, now);
    limiter.OnConfirmed("p0", 7, true, limiter.ReportFor("p0", now), now);
    const bool one = limiter.Admit("a", kLimits, 1, now).admitted;
    admitted += step >= 760 && one ? 1 : 0;
  }
  // Two seconds, of which three quarters are not the share of the new server.
  BOOST_TEST(admitted >= 28U);
}

// Guards against rolling restarts in which the shares of servers that have left
// stay reserved, so that accounts are refused far below their limit.
BOOST_AUTO_TEST_CASE(ServersThatLeaveNeedNoShare) {
  constexpr AccountLimits kLimits{.rate = 20, .burst = 20};
  const auto admitted = [&](bool announced) {
    TimePoint now(std::chrono::seconds(1'000));
    AccountLimiter limiter({"own", "d0"}, {.excess = 0.1, .margin = 20}, 1,
                           now);
    std::vector<QuotaPeer> others;
    for (int i = 0; i < 11; ++i) {
      others.push_back({"p" + std::to_string(i), "d" + std::to_string(i % 3)});
    }
    limiter.SetPeers(others, 3, now);
    const auto report = [&](const QuotaPeer& peer, bool leaving) {
      limiter.OnReport(peer.name,
                       {.epoch = 7, .complete = true, .leaving = leaving}, now);
      limiter.OnConfirmed(peer.name, 7, true, limiter.ReportFor(peer.name, now),
                          now);
    };
    int count = 0;
    for (int step = 0; step < 160; ++step) {
      now += std::chrono::milliseconds(50);
      limiter.Tick(now);
      for (std::size_t i = 0; i < others.size(); ++i) {
        if (i < 2 || step < 20) {
          report(others[i], /*leaving=*/false);
        } else if (step == 20 && announced) {
          report(others[i], /*leaving=*/true);
        }
      }
      if (step == 20) {
        limiter.SetPeers({others[0], others[1]}, 3, now);
      }
      if (step >= 60) {
        count += limiter.Admit("a", kLimits, 1, now).admitted ? 1 : 0;
      }
    }
    return count;
  };
  // Five seconds at the rate.
  BOOST_TEST(admitted(true) >= 95);
  BOOST_TEST(admitted(false) < 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
