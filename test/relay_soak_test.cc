#include <boost/test/unit_test.hpp>

#include "util/relay_soak/soak.h"

namespace auburnyard {

BOOST_AUTO_TEST_SUITE(relay_soak_test)

// Guards against guarantees that are violated when faults overlap. This is a
// short run with a fixed seed; scripts/soak makes longer runs.
BOOST_AUTO_TEST_CASE(ShortRunWithAFixedSeed) {
  util::Soak soak({.program_directory = TEST_BINARY_DIR,
                   .seed = 3,
                   .duration = std::chrono::seconds(20),
                   .hosts_per_domain = 2,
                   .extra_hosts = 4,
                   .base_port = 25'600});
  const std::vector<std::string> violations = soak.Run();
  for (const std::string& violation : violations) {
    BOOST_TEST_INFO(violation);
  }
  BOOST_TEST(violations.empty());
  BOOST_TEST(soak.requests() > 0U);
  BOOST_TEST(soak.judged() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
