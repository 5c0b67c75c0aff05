#include "auburnyard/restriction_table.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard {

using std::chrono::milliseconds;

namespace {

TimePoint At(int ms) {
  return TimePoint(milliseconds(1'000'000 + ms));
}

Restriction Make(const std::string& id, std::uint64_t base, int remaining_ms) {
  return {.id = id,
          .author = "amy",
          .domain = "north",
          .base_revision = base,
          .remaining = milliseconds(remaining_ms)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(restriction_table_test)

// Guards against two hosts that keep a restriction alive by exchanging it.
BOOST_AUTO_TEST_CASE(ExchangeNeverExtends) {
  constexpr int kTransitMs = 300;
  RestrictionTable hosts[2];
  BOOST_TEST(hosts[0].Add(Make("r", 5, 1000), At(0)));
  int last_ms = 0;
  for (int ms = 0; ms < 10'000; ms += kTransitMs) {
    for (int from = 0; from < 2; ++from) {
      for (const Restriction& sent : hosts[from].List(At(ms))) {
        hosts[1 - from].Add(sent, At(ms + kTransitMs));
        last_ms = ms;
      }
    }
  }
  BOOST_TEST(hosts[0].List(At(999)).empty());
  BOOST_TEST(last_ms <= 1000 + kTransitMs);
}

// Guards against a restriction that stays in effect when a higher revision is
// in force, or that an old message adds again.
BOOST_AUTO_TEST_CASE(HigherRevisionDropsIt) {
  RestrictionTable table;
  table.SetRevision(5);
  BOOST_TEST(table.Add(Make("r", 5, 1000), At(0)));
  table.SetRevision(5);
  BOOST_TEST(table.Forbids("north", At(1)));
  BOOST_TEST(!table.Forbids("south", At(1)));
  table.SetRevision(6);
  BOOST_TEST(!table.Forbids("north", At(1)));
  BOOST_TEST(!table.Add(Make("r", 6, 1000), At(2)));
  BOOST_TEST(!table.Add(Make("old", 5, 1000), At(2)));
}

// Guards against restrictions without a bound on their time or number.
BOOST_AUTO_TEST_CASE(TimeAndNumberAreBounded) {
  RestrictionTable table;
  BOOST_TEST(table.Add(Make("r", 1, 1'000'000'000), At(0)));
  BOOST_TEST((table.List(At(0))[0].remaining <= kMaxRestrictionTime));
  BOOST_TEST(!table.Add(Make("s", 1, 0), At(0)));
  for (std::size_t i = 1; i < kMaxRestrictions; ++i) {
    BOOST_TEST(table.Add(Make(std::to_string(i), 1, 1000), At(0)));
  }
  BOOST_TEST(!table.Add(Make("one too many", 1, 1000), At(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
