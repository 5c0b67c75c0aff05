#include "auburnyard/registration_choice.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "auburnyard/burst_division.h"
#include "auburnyard/host_table.h"
#include "auburnyard/route_table.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{50};

TimePoint At(milliseconds time) {
  return TimePoint(std::chrono::seconds(1'000)) + time;
}

/// Hosts of one failure domain that receive registrations after a delay.
class SimulatedDomain {
 public:
  SimulatedDomain(std::size_t hosts,
                  std::size_t large_hosts,
                  milliseconds delay)
      : update_delay(delay) {
    for (std::size_t i = 0; i < hosts; ++i) {
      this->entries.push_back({.name = "host-" + std::to_string(i),
                               .failure_domain = "d1",
                               .cores = i < large_hosts ? 0.5 : 0.12});
      this->choices.emplace_back(this->entries.back());
      this->registered_at.push_back(TimePoint::max());
    }
  }

  void Run(milliseconds from, milliseconds to) {
    for (milliseconds time = from; time < to; time += kStep) {
      const std::vector<HostEntry> visible =
          this->RegisteredHosts(At(time) - this->update_delay);
      for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (this->registered_at[i] == TimePoint::max() &&
            this->choices[i].ShouldRegister(visible, At(time))) {
          this->registered_at[i] = At(time);
        }
      }
    }
  }
  std::vector<HostEntry> RegisteredHosts(TimePoint by) const {
    std::vector<HostEntry> found;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->registered_at[i] <= by) {
        found.push_back(this->entries[i]);
      }
    }
    return found;
  }
  void Revoke(std::string_view name) {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->entries[i].name == name) {
        this->registered_at[i] = TimePoint::max();
      }
    }
  }

 private:
  milliseconds update_delay;
  std::vector<HostEntry> entries;
  std::vector<RegistrationChoice> choices;
  std::vector<TimePoint> registered_at;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(registration_choice_test)

// Guards against registrations that grow with the number of hosts, and against
// large hosts that are not registered while small ones are.
BOOST_AUTO_TEST_CASE(AFewOfManyHostsRegister) {
  for (const std::size_t hosts : {52U, 208U}) {
    SimulatedDomain domain(hosts, 3, milliseconds(1'000));
    domain.Run(milliseconds(0), milliseconds(10'000));
    const auto registered = domain.RegisteredHosts(At(milliseconds(10'000)));
    BOOST_TEST(registered.size() >= 8U);
    BOOST_TEST(registered.size() <= 8 + hosts * 2 / 5);
    BOOST_TEST(std::count_if(registered.begin(), registered.end(),
                             [](const HostEntry& host) {
                               return host.cores > 0.2;
                             }) == 3);
  }
}

// Guards against a small domain whose hosts do not all register, or only late.
BOOST_AUTO_TEST_CASE(AllHostsOfSmallDomainsRegister) {
  SimulatedDomain domain(3, 0, milliseconds(1'000));
  domain.Run(milliseconds(0), milliseconds(5'100));
  BOOST_TEST(domain.RegisteredHosts(At(milliseconds(5'100))).size() == 3U);
}

// Guards against a domain without registered hosts after the store has revoked
// registrations.
BOOST_AUTO_TEST_CASE(RevokedRegistrationsAreReplaced) {
  SimulatedDomain domain(52, 3, milliseconds(1'000));
  domain.Run(milliseconds(0), milliseconds(6'000));
  const auto before = domain.RegisteredHosts(At(milliseconds(6'000)));
  for (std::size_t i = 0; i + 4 < before.size(); ++i) {
    domain.Revoke(before[i].name);
  }
  domain.Run(milliseconds(6'000), milliseconds(12'000));
  BOOST_TEST(domain.RegisteredHosts(At(milliseconds(12'000))).size() >= 8U);
}

// Guards against every host of a large domain connecting to every target, and
// against hosts that use a shared limit without being counted.
BOOST_AUTO_TEST_CASE(FetchersShareWhatTargetsOffer) {
  HostTable hosts;
  const TimePoint now = At(milliseconds(0));
  const auto add = [&hosts](std::size_t count, const std::string& domain) {
    for (std::size_t i = 0; i < count; ++i) {
      hosts.Upsert({.name = domain + std::to_string(i),
                    .failure_domain = domain,
                    .cores = i < 3 ? 0.5 : 0.12});
    }
  };
  add(49, "large");
  add(3, "small");
  BOOST_TEST(hosts.IsLargeDomain("large"));
  BOOST_TEST(!hosts.IsLargeDomain("small"));
  const std::vector<HostEntry> fetchers = hosts.Fetchers("large");
  BOOST_TEST(hosts.SharingHostCount(now) == fetchers.size() + 3);
  std::set<std::size_t> ranks;
  for (const HostEntry& host : hosts.RegisteredHosts()) {
    const bool connects =
        hosts.ConnectsToTargets(host.name, host.failure_domain);
    const std::size_t rank = hosts.Rank(host.name, "target", now);
    BOOST_TEST(connects == (rank < hosts.SharingHostCount(now)));
    if (connects) {
      BOOST_TEST(ranks.insert(rank).second);
    }
  }
  BOOST_TEST(ranks.size() == hosts.SharingHostCount(now));
  BOOST_TEST((fetchers.front().cores > 0.2));
  // A host whose registration was removed may still be alive.
  hosts.Remove(fetchers.front().name, now);
  BOOST_TEST(hosts.SharingHostCount(now) == fetchers.size() + 4);
  BOOST_TEST(hosts.SharingHostCount(now + std::chrono::seconds(11)) ==
             fetchers.size() + 3);
}

// Guards against repeats of all hosts that exceed the burst in total, for any
// number of hosts, and against a division that allows almost no repeats.
BOOST_AUTO_TEST_CASE(HostsTogetherKeepToTheBurst) {
  constexpr double kBurst = 630;
  using Case = std::pair<std::size_t, ServiceUse>;
  for (const auto& [hosts, use] :
       {Case(9, ServiceUse::kFanOut), Case(78, ServiceUse::kFanOut),
        Case(295, ServiceUse::kFanOut), Case(1'200, ServiceUse::kFanOut),
        Case(9, ServiceUse::kSingle), Case(78, ServiceUse::kSingle),
        Case(295, ServiceUse::kSingle), Case(1'200, ServiceUse::kSingle)}) {
    double sum = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
      const bool connects = i < 12;
      const BurstDivision division = {
          .host_name = "h" + std::to_string(i),
          .connects = connects,
          .connecting_hosts = std::min<std::size_t>(hosts, 12),
          .max_other_hosts = hosts};
      sum += division.ShareOf(kBurst, "s", use);
    }
    BOOST_TEST(sum <= kBurst);
    BOOST_TEST(sum >= kBurst * 0.4);
  }
  // An unknown number of hosts gives no share, instead of the large share of a
  // few hosts.
  BOOST_TEST(BurstDivision().ShareOf(kBurst, "s") == 0);
  BOOST_TEST((BurstDivision{.connects = false, .connecting_hosts = 12}.ShareOf(
                  kBurst, "s") == 0));
}

// Guards against hosts that cannot repeat a request whose target crashed,
// although the service has repeats left: each host of 68 sends requests of its
// own callers to the service.
BOOST_AUTO_TEST_CASE(EachHostMayRepeatAtAServiceThatAllHostsUse) {
  for (std::size_t i = 0; i < 68; ++i) {
    const BurstDivision division = {.host_name = "h" + std::to_string(i),
                                    .connects = i < 12,
                                    .connecting_hosts = 12,
                                    .max_other_hosts = 99};
    BOOST_TEST(division.ShareOf(176, "s", ServiceUse::kSingle) >= 1);
  }
  const auto routes = [](std::vector<std::string> shards) {
    Route single;
    single.services = {{.service = "s"}};
    Route all;
    all.shards = std::move(shards);
    return RouteTable(1, {single, all}, {}, CallerLimits());
  };
  BOOST_TEST(routes({"a"}).IsSingle("s"));
  BOOST_TEST(!routes({"a"}).IsSingle("a"));
  BOOST_TEST(!routes({"a", "s"}).IsSingle("s"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
