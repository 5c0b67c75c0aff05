#include "auburnyard/version_roles.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

constexpr std::int64_t kEarly = 1'000'000;
constexpr std::int64_t kLater = kEarly + 60'000;

const std::vector<TargetVersion> kTargets = {{"v1", kEarly},
                                             {"v1", kLater + 5'000},
                                             {"v2", kLater}};

}  // namespace

BOOST_AUTO_TEST_SUITE(version_roles_test)

// Guards against requests to targets whose version no order names.
BOOST_AUTO_TEST_CASE(NewVersionIsHeldBackWithoutAnOrder) {
  const VersionRoles roles({.use = VersionUse::kOldOnly}, kTargets);
  BOOST_TEST(roles.MayReceive("v1"));
  BOOST_TEST(!roles.MayReceive("v2"));
}

// Guards against a service without targets in use because the old ones drain,
// and against versions held back that were deployed together.
BOOST_AUTO_TEST_CASE(VersionIsUsedWithoutOlderTargets) {
  const std::vector<TargetVersion> draining = {{"v1", kEarly, true},
                                               {"v2", kLater}};
  BOOST_TEST(
      VersionRoles({.use = VersionUse::kOldOnly}, draining).MayReceive("v2"));
  const std::vector<TargetVersion> together = {{"v1", kEarly},
                                               {"v2", kEarly + 500}};
  BOOST_TEST(
      VersionRoles({.use = VersionUse::kOldOnly}, together).MayReceive("v2"));
}

// Guards against mixing up which versions each stage admits.
BOOST_AUTO_TEST_CASE(PolicyDecidesWhichVersionsReceive) {
  const VersionRoles canary({VersionUse::kCanary, "v2"}, kTargets);
  BOOST_TEST(canary.MayReceive("v1"));
  BOOST_TEST(canary.MayReceive("v2"));
  BOOST_TEST(!canary.MayReceive("v3"));
  const VersionRoles complete({VersionUse::kNewOnly, "v2"}, kTargets);
  BOOST_TEST(!complete.MayReceive("v1"));
  BOOST_TEST(complete.MayReceive("v2"));
  const VersionRoles rolled_back({VersionUse::kOldOnly, "v2"}, kTargets);
  BOOST_TEST(rolled_back.MayReceive("v1"));
  BOOST_TEST(!rolled_back.MayReceive("v2"));
  const VersionRoles disabled({}, kTargets);
  BOOST_TEST(disabled.MayReceive("v1"));
  BOOST_TEST(disabled.MayReceive("v2"));
}

// Guards against a service without targets after those of the completed version
// are gone.
BOOST_AUTO_TEST_CASE(OtherVersionsReplaceACompletedOneThatIsGone) {
  const std::vector<TargetVersion> left = {{"v1", kEarly}};
  BOOST_TEST(VersionRoles({VersionUse::kNewOnly, "v2"}, left).MayReceive("v1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
