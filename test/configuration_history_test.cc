#include "util/relay_soak/configuration_history.h"

#include <boost/test/unit_test.hpp>

#include "util/relay_soak/contact_log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{3'000};
constexpr milliseconds kContact{4'000};

TimePoint At(int time_ms) {
  return TimePoint() + milliseconds(time_ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_history_test)

// Guards against a check that accepts a version which is no longer allowed, or
// rejects one that may still be in force.
BOOST_AUTO_TEST_CASE(OlderVersionIsAllowedUntilTheNextOneIsDue) {
  util::ConfigurationHistory history(kLimit);
  history.Add(1, At(0), At(0));
  history.Add(2, At(10'000), At(10'010));
  const auto is_first = [](std::uint64_t version) { return version == 1; };
  BOOST_TEST(history.Allowed(At(13'009), At(13'020), is_first));
  BOOST_TEST(!history.Allowed(At(13'010), At(13'020), is_first));
  BOOST_TEST(!history.AllowedByAll(At(11'000), At(11'020), is_first));
}

// Guards against a check that rejects a version in force before its
// acknowledgement was seen.
BOOST_AUTO_TEST_CASE(VersionIsAllowedFromItsSending) {
  util::ConfigurationHistory history(kLimit);
  history.Add(1, At(0), At(0));
  history.Add(2, At(10'000), At(10'500));
  const auto is_second = [](std::uint64_t version) { return version == 2; };
  BOOST_TEST(history.Allowed(At(9'990), At(10'000), is_second));
  BOOST_TEST(!history.Allowed(At(9'980), At(9'990), is_second));
}

// Guards against judging hosts that cannot know the newest version yet, and
// against never judging them again.
BOOST_AUTO_TEST_CASE(SubjectIsInTouchAgainAfterTheContactTime) {
  util::ContactLog log(kContact);
  BOOST_TEST(log.InTouch("store", At(10'000)));
  log.Begin("store");
  BOOST_TEST(!log.InTouch("store", At(60'000)));
  log.End("store", At(20'000));
  log.End("store", At(50'000));  // not open
  BOOST_TEST(!log.InTouch("store", At(23'999)));
  BOOST_TEST(log.InTouch("store", At(24'000)));
  log.Strike("store", At(30'000));
  BOOST_TEST(!log.InTouch("store", At(33'999)));
  BOOST_TEST(log.InTouch("store", At(34'000)));
  BOOST_TEST(log.InTouch("host 1", At(30'000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
