#include "auburnyard/coverage.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include "test/property.h"

namespace auburnyard {

BOOST_AUTO_TEST_SUITE(coverage_test)

// Guards against a partial result that is counted twice when both a hedge and
// the original attempt reply.
BOOST_AUTO_TEST_CASE(DuplicateRangeIsNotCounted) {
  Coverage coverage({{0, 10}, {10, 20}});
  BOOST_TEST(coverage.Add({0, 10}));
  BOOST_TEST(!coverage.Add({0, 10}));
  BOOST_TEST(!coverage.Add({5, 15}));
  BOOST_TEST(coverage.Fraction() == 0.5);
}

// Guards against coverage computed from the number of shards: shards are
// weighted by their number of keys.
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

// Guards against a merged range outside the pinned shard map.
BOOST_AUTO_TEST_CASE(RangeOutsideTheMapIsRefused) {
  Coverage coverage({{0, 10}});
  BOOST_TEST(!coverage.Add({10, 20}));
  BOOST_TEST(!coverage.Add({5, 11}));
  BOOST_TEST(coverage.Fraction() == 0.0);
}

// Guards against an incorrect merge of adjacent ranges, by comparison with a
// set of single keys.
BOOST_AUTO_TEST_CASE(AgreesWithASetOfKeys) {
  BOOST_TEST(test::CounterExample(20261204, [] {
               Coverage coverage({{0, 12}, {14, 20}, {20, 30}});
               std::set<std::uint64_t> missing;
               for (std::uint64_t key = 0; key < 30; ++key) {
                 if (key < 12 || key >= 14) {
                   missing.insert(key);
                 }
               }
               for (int i = 0; i < 12; ++i) {
                 const auto begin = *rc::gen::inRange<std::uint64_t>(0, 31);
                 const KeyRange range{begin, begin + *rc::gen::inRange(0, 8)};
                 std::set<std::uint64_t> rest = missing;
                 for (std::uint64_t key = range.begin; key < range.end; ++key) {
                   rest.erase(key);
                 }
                 const bool is_new =
                     !range.empty() &&
                     rest.size() + range.size() == missing.size();
                 RC_ASSERT(coverage.Add(range) == is_new);
                 missing = is_new ? rest : missing;
               }
               std::set<std::uint64_t> listed;
               for (const KeyRange& range : coverage.Missing()) {
                 for (std::uint64_t key = range.begin; key < range.end; ++key) {
                   listed.insert(key);
                 }
               }
               RC_ASSERT(listed == missing);
               RC_ASSERT(coverage.Complete() == missing.empty());
             }) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
