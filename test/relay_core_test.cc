#include <algorithm>
#include <array>
#include <ctime>

#include <boost/test/unit_test.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/host_table.h"
#include "auburnyard/record_merger.h"
#include "auburnyard/repeat_budget.h"
#include "auburnyard/route_table.h"
#include "auburnyard/target_state.h"
#include "test/property.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) {
  return TimePoint(milliseconds(1'000'000 + ms));
}

RouteTable Table() {
  const auto route = [](std::string name, std::string prefix) {
    return Route{.name = std::move(name),
                 .host = "Search.Example",
                 .prefix = std::move(prefix),
                 .services = {{.service = "s"}}};
  };
  return RouteTable(1, {route("short", "/a/"), route("long", "/a/b/")}, {}, {});
}

// Greatest records by sorting all of them.
std::string SortedRecords(const std::vector<std::string>& parts,
                          std::size_t limit) {
  std::vector<std::string> records;
  for (const std::string& part : parts) {
    for (std::size_t at = 0; at + RecordMerger::kRecordBytes <= part.size();
         at += RecordMerger::kRecordBytes) {
      records.push_back(part.substr(at, RecordMerger::kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(),
            [](const std::string& left, const std::string& right) {
              return std::lexicographical_compare(
                  right.begin(), right.end(), left.begin(), left.end(),
                  [](char a, char b) {
                    return static_cast<unsigned char>(a) <
                           static_cast<unsigned char>(b);
                  });
            });
  std::string merged;
  for (std::size_t i = 0; i < std::min(limit, records.size()); ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_core_test)

// Guards against a host that uses stale data and expired deadlines after its
// machine was suspended, because the clock did not include that time.
BOOST_AUTO_TEST_CASE(ClockCountsTheTimeOfASuspendedMachine) {
  const auto since_boot = [] {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  };
  const Clock clock;
  const TimePoint before = since_boot();
  const TimePoint now = clock.Now();
  BOOST_TEST((before <= now && now <= since_boot()));
}

// Guards against a route that matches requests of a route with a longer prefix.
BOOST_AUTO_TEST_CASE(LongestPrefixWins) {
  const RouteTable table = Table();
  BOOST_REQUIRE(table.Find("search.example", "/a/b/c") != nullptr);
  BOOST_TEST(table.Find("search.example", "/a/b/c")->name == "long");
  BOOST_TEST(table.Find("SEARCH.example:8080", "/a/bc")->name == "short");
  BOOST_TEST((table.Find("search.example", "/a") == nullptr));
  BOOST_TEST((table.Find("other.example", "/a/b/") == nullptr));
}

// Guards against records that are lost, reordered or compared as signed bytes.
BOOST_AUTO_TEST_CASE(MergerKeepsTheGreatestRecords) {
  const std::string failure = test::CounterExample(7, [] {
    const auto limit = *rc::gen::inRange<std::size_t>(0, 6);
    const auto parts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127)));
    RecordMerger merger(limit);
    for (const std::string& part : parts) {
      merger.Add(part);
    }
    RC_ASSERT(merger.Take() == SortedRecords(parts, limit));
  });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against more repeats in some window than the ratio and the burst
// allow.
BOOST_AUTO_TEST_CASE(RepeatsStayWithinAnyWindow) {
  const std::string failure = test::CounterExample(11, [] {
    const RepeatBudgetLimits limits{
        .ratio = 0.2, .burst = 3, .window = milliseconds(1'000)};
    RepeatBudget budget(limits);
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
    std::int64_t now = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      now += step % 11;
      if (step % 2 == 0) {
        budget.OnRequest(At(now));
        requests.push_back(now);
      } else if (budget.Take(At(now))) {
        repeats.push_back(now);
        const auto within = [now](const std::vector<std::int64_t>& times) {
          return std::count_if(
              times.begin(), times.end(),
              [now](std::int64_t time) { return time > now - 1'000; });
        };
        RC_ASSERT(static_cast<double>(within(repeats)) <=
                  limits.ratio * static_cast<double>(within(requests)) +
                      limits.burst);
      }
    }
  });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against hedges that use up the budget for retries.
BOOST_AUTO_TEST_CASE(ReserveLeavesRepeatsForRetries) {
  RepeatBudget budget({.ratio = 0, .burst = 4, .window = milliseconds(1'000)});
  int hedges = 0;
  while (budget.Take(At(0), 0.5)) {
    ++hedges;
  }
  BOOST_TEST(hedges == 2);
  BOOST_TEST(budget.Take(At(0)));
  BOOST_TEST(budget.Take(At(0)));
  BOOST_TEST(!budget.Take(At(0)));
}

// Guards against new requests to a target that is paused.
BOOST_AUTO_TEST_CASE(StalledTargetCostsMoreThanADistantOne) {
  TargetState near({.id = "near", .slots = 2}, Distance::kSameDomain);
  const TargetState far({.id = "far", .slots = 2}, Distance::kOtherRegion);
  BOOST_TEST((near.Cost(At(0)) < far.Cost(At(0))));
  near.OnSent(At(0));
  BOOST_TEST((near.Cost(At(10)) < far.Cost(At(10))));
  BOOST_TEST((near.Cost(At(80)) > far.Cost(At(80))));
  near.OnReply(At(0), At(200));
  BOOST_TEST((near.Cost(At(201)) < far.Cost(At(201))));
}

// Guards against preferring a target because it fails quickly.
BOOST_AUTO_TEST_CASE(FailingTargetCostsMoreThanADistantOne) {
  TargetState near({.id = "near", .slots = 2}, Distance::kSameDomain);
  const TargetState far({.id = "far", .slots = 2}, Distance::kOtherRegion);
  for (int i = 0; i < 4; ++i) {
    near.OnSent(At(i));
    near.OnRefused(At(i), At(i));
  }
  BOOST_TEST((near.Cost(At(5)) > far.Cost(At(5))));
  // The penalty decays while there are no further outcomes.
  BOOST_TEST((near.Cost(At(8'000)) < far.Cost(At(8'000))));
}

// Guards against hosts that exceed the limits of a target together, because a
// host whose registration was removed is still alive.
BOOST_AUTO_TEST_CASE(RemovedHostCountsUntilItsRetentionEnds) {
  HostTable hosts;
  BOOST_TEST(hosts.SharingHostCount(At(0)) == 1U);
  hosts.Upsert({.name = "a", .address = "", .failure_domain = "x"});
  hosts.Upsert({.name = "b", .address = "", .failure_domain = "y"});
  hosts.Remove("b", At(0));
  BOOST_TEST(hosts.SharingHostCount(At(5'000)) == 2U);
  BOOST_TEST(hosts.SharingHostCount(At(11'000)) == 1U);
  BOOST_TEST(hosts.HostsInDomain("y").empty());
  BOOST_TEST(hosts.HostsInDomain("x").size() == 1U);
}

// Guards against two hosts with the same rank for a target.
BOOST_AUTO_TEST_CASE(RanksAreDistinct) {
  HostTable hosts;
  for (const char* name : {"a", "b", "c", "d"}) {
    hosts.Upsert({.name = name, .address = "", .failure_domain = "x"});
  }
  std::array<bool, 4> seen{};
  for (const char* name : {"a", "b", "c", "d"}) {
    seen.at(hosts.Rank(name, "target", At(0))) = true;
  }
  BOOST_TEST(
      std::all_of(seen.begin(), seen.end(), [](bool one) { return one; }));
}

// Guards against bundles that are requested with too early an answer time
// because the execution time of targets was counted as network delay.
BOOST_AUTO_TEST_CASE(RoundTripLeavesOutExecution) {
  TargetState state({.id = "t"}, Distance::kOtherRegion);
  state.OnSent(At(0));
  state.OnReply(At(0), At(52));
  BOOST_TEST(state.RoundTrip() == milliseconds(52));
  state.OnConnected(milliseconds(44));
  state.OnConnected(milliseconds(40));
  state.OnConnected(milliseconds(450));
  BOOST_TEST(state.RoundTrip() == milliseconds(40));
  BOOST_TEST(state.latency().Floor() == milliseconds(52));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
