#include "auburnyard/configuration_age.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard {

using std::chrono::milliseconds;

namespace {

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_age_test)

// Guards against an age that increases because a slower source reports later.
BOOST_AUTO_TEST_CASE(LowestReportedAgeIsUsed) {
  ConfigurationAge configuration_age;
  configuration_age.SetRevision(4);
  BOOST_TEST(!configuration_age.Age(At(0)));
  BOOST_TEST(configuration_age.Stale(At(0)));
  configuration_age.ApplyReport({4, milliseconds(100)}, At(1000));
  configuration_age.ApplyReport({4, milliseconds(900)}, At(1000));
  BOOST_TEST((configuration_age.Age(At(1000)) == Duration(milliseconds(100))));
  configuration_age.Confirm(4, At(950));
  BOOST_TEST((configuration_age.Age(At(1000)) == Duration(milliseconds(50))));
}

// Guards against a host that is treated as current because a source confirms a
// revision that the host does not have.
BOOST_AUTO_TEST_CASE(OtherRevisionsConfirmNothing) {
  ConfigurationAge configuration_age;
  configuration_age.SetRevision(4);
  configuration_age.Confirm(5, At(1000));
  configuration_age.Confirm(3, At(1000));
  BOOST_TEST(!configuration_age.Age(At(1000)));
  BOOST_TEST(configuration_age.newest_revision() == 5U);
  BOOST_TEST(configuration_age.revision() == 4U);
}

// Guards against a report that waited in a queue while the process was paused
// and is then treated as new.
BOOST_AUTO_TEST_CASE(PauseCountsAsAge) {
  Clock clock;
  clock.Pause();
  ConfigurationAge configuration_age;
  configuration_age.SetRevision(4);
  const TimePoint requested_at = clock.Now();
  clock.Advance(std::chrono::seconds(10));
  configuration_age.ApplyReport({4, milliseconds(20)}, requested_at);
  BOOST_TEST(
      (configuration_age.Age(clock.Now()) == Duration(milliseconds(10'020))));
  BOOST_TEST(configuration_age.Stale(clock.Now()));
  BOOST_TEST(
      (configuration_age.Report(clock.Now())->age == milliseconds(10'020)));
}

// Guards against a stale host that performs actions allowed only to a current
// one.
BOOST_AUTO_TEST_CASE(PermissionsOfAStaleHost) {
  struct Case {
    AgeDependentAction action;
    Permission current;
    Permission stale;
  };
  using A = AgeDependentAction;
  using P = Permission;
  const Case cases[] = {
      {A::kOwnDomainTarget, P::kAllowed, P::kAllowed},
      {A::kRemoteOwner, P::kAllowed, P::kAllowed},
      {A::kRemoteTargetDirect, P::kAllowed, P::kRefused},
      {A::kNonIdempotent, P::kAllowedIfClaimed, P::kAllowedIfClaimed},
      {A::kConfirmPlan, P::kAllowed, P::kRefused}};
  for (const Case& row : cases) {
    BOOST_TEST((PermissionFor(row.action, kStaleAfter) == row.current));
    BOOST_TEST((PermissionFor(row.action, kStaleAfter + milliseconds(1)) ==
                row.stale));
    BOOST_TEST((PermissionFor(row.action, std::nullopt) == row.stale));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
