#include "auburnyard/coverage.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard {

BOOST_AUTO_TEST_SUITE(coverage_test)

// Guards against a partial result that is counted twice when a hedge and its
// first attempt both reply.
BOOST_AUTO_TEST_CASE(DuplicateRangeIsNotCounted) {
  Coverage coverage({{0, 10}, {10, 20}});
  BOOST_TEST(coverage.Add({0, 10}));
  BOOST_TEST(!coverage.Add({0, 10}));
  BOOST_TEST(!coverage.Add({5, 15}));
  BOOST_TEST(coverage.Fraction() == 0.5);
}

// Guards against coverage by shard count: shards of unequal size must weigh by
// their keys.
BOOST_AUTO_TEST_CASE(MissingRangesAreListed) {
  Coverage coverage({{0, 10}, {10, 40}, {50, 60}});
  BOOST_TEST(coverage.Add({10, 40}));
  const std::vector<KeyRange> missing = coverage.Missing();
  BOOST_REQUIRE(missing.size() == 2U);
  BOOST_TEST((missing[0] == KeyRange{0, 10}));
  BOOST_TEST((missing[1] == KeyRange{50, 60}));
  BOOST_TEST(coverage.Fraction() == 0.6);
  BOOST_TEST(!coverage.Complete());
}

// Guards against a reply for a range that the pinned snapshot does not contain.
BOOST_AUTO_TEST_CASE(RangeOutsideTheMapIsRefused) {
  Coverage coverage({{0, 10}});
  BOOST_TEST(!coverage.Add({10, 20}));
  BOOST_TEST(!coverage.Add({5, 11}));
  BOOST_TEST(coverage.Fraction() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
