#include "auburnyard/knowledge.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard {

using std::chrono::milliseconds;

namespace {

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(knowledge_test)

// Guards against an age that rises because a slower source reports later.
BOOST_AUTO_TEST_CASE(YoungestSourceCounts) {
  Knowledge knowledge;
  knowledge.SetRevision(4);
  BOOST_TEST(!knowledge.Age(At(0)));
  BOOST_TEST(knowledge.Stale(At(0)));
  knowledge.Learn({4, milliseconds(100)}, At(1000));
  knowledge.Learn({4, milliseconds(900)}, At(1000));
  BOOST_TEST((knowledge.Age(At(1000)) == Duration(milliseconds(100))));
  knowledge.Confirm(4, At(950));
  BOOST_TEST((knowledge.Age(At(1000)) == Duration(milliseconds(50))));
}

// Guards against a host that takes itself for current because a source confirms
// a revision that it does not have.
BOOST_AUTO_TEST_CASE(OtherRevisionsConfirmNothing) {
  Knowledge knowledge;
  knowledge.SetRevision(4);
  knowledge.Confirm(5, At(1000));
  knowledge.Confirm(3, At(1000));
  BOOST_TEST(!knowledge.Age(At(1000)));
  BOOST_TEST(knowledge.newest_revision() == 5U);
  BOOST_TEST(knowledge.revision() == 4U);
}

// Guards against a report that waited in a queue while the process was paused
// and is then taken for new.
BOOST_AUTO_TEST_CASE(PauseCountsAsAge) {
  Clock clock;
  clock.Pause();
  Knowledge knowledge;
  knowledge.SetRevision(4);
  const TimePoint asked = clock.Now();
  clock.Advance(std::chrono::seconds(10));
  knowledge.Learn({4, milliseconds(20)}, asked);
  BOOST_TEST((knowledge.Age(clock.Now()) == Duration(milliseconds(10'020))));
  BOOST_TEST(knowledge.Stale(clock.Now()));
  BOOST_TEST((knowledge.Report(clock.Now())->age == milliseconds(10'020)));
}

// Guards against a stale host that does what only a current one may do.
BOOST_AUTO_TEST_CASE(PermissionsOfAStaleHost) {
  struct Case {
    KnowledgeAction action;
    Permission current;
    Permission stale;
  };
  using A = KnowledgeAction;
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
