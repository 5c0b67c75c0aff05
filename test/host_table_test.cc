#include "util/host_list_standin/host_table.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard::util {

BOOST_AUTO_TEST_SUITE(host_table_test)

// Guards against a host list that shows a change before its lag has passed.
BOOST_AUTO_TEST_CASE(HostListLags) {
  const TimePoint start{std::chrono::hours(1)};
  const Duration lag = std::chrono::seconds(2);
  HostTable table;
  table.Put("a", {.address = "127.0.0.1:1", .domain = "d1"}, start);
  table.Remove("a", start + lag);
  const auto listed = [&table](TimePoint now) {
    return table.List(now).at("hosts").as_array().size();
  };
  BOOST_TEST(listed(start) == 1U);
  BOOST_TEST(listed(start + lag / 2) == 1U);
  BOOST_TEST(listed(start + lag) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
