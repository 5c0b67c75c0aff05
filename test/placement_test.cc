#include "auburnyard/placement.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/bundle_grouping.h"
#include "auburnyard/hedging.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) {
  return TimePoint(milliseconds(1'000'000 + ms));
}

WorkEstimate WorkOf(milliseconds work) {
  WorkEstimate estimate;
  for (int i = 0; i < 50; ++i) {
    estimate.Add(work + milliseconds(i % 3));
  }
  return estimate;
}

TargetState ConnectedTarget(Distance distance) {
  TargetState target({.id = "t", .slots = 3}, distance);
  target.OnConnected(milliseconds(2));
  return target;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

// Guards against one estimate for kinds whose work differs: replies to the long
// kind must not delay the hedge of the short one.
BOOST_AUTO_TEST_CASE(HedgeTimeFollowsTheKindOfRequest) {
  TargetState target = ConnectedTarget(Distance::kSameDomain);
  WorkEstimate longer = WorkOf(milliseconds(60));
  const WorkEstimate shorter = WorkOf(milliseconds(8));
  for (int i = 0; i < 20; ++i) {
    target.OnSent(At(i), &longer);
    target.OnReply(At(i), At(i + 62), &longer);
  }
  const HedgeTiming timing = {
      .work = &shorter, .answer_by = At(300), .deadline = At(900)};
  BOOST_TEST((HedgeTime(target, timing, At(100)) < At(130)));
}

// Guards against a few slow replies that change what is expected of all
// targets.
BOOST_AUTO_TEST_CASE(OutliersHardlyChangeTheWorkEstimate) {
  WorkEstimate work = WorkOf(milliseconds(10));
  for (int i = 0; i < 5; ++i) {
    work.Add(milliseconds(400));
  }
  BOOST_TEST((work.Mean() < milliseconds(13)));
}

// Guards against a second of requests to a slow target each time that its
// estimate is outdated.
BOOST_AUTO_TEST_CASE(OutdatedSlowdownIsVerifiedByOneRequest) {
  TargetState target = ConnectedTarget(Distance::kSameDomain);
  WorkEstimate work = WorkOf(milliseconds(20));
  for (int i = 0; i < 30; ++i) {
    target.OnSent(At(i), &work);
    target.OnReply(At(i), At(i + 200), &work);
  }
  BOOST_TEST((target.Expected(At(300), &work) > milliseconds(100)));
  BOOST_TEST((target.Expected(At(5'000), &work) < milliseconds(40)));
  target.OnSent(At(5'000), &work);
  BOOST_TEST((target.Expected(At(5'001), &work) > milliseconds(100)));
}

// Guards against forgetting that a target is slow because the requests that
// showed it were abandoned.
BOOST_AUTO_TEST_CASE(AbandonedRequestShowsTheSlowdown) {
  TargetState target = ConnectedTarget(Distance::kSameDomain);
  const WorkEstimate work = WorkOf(milliseconds(20));
  const Duration before = target.Expected(At(0), &work);
  target.OnSent(At(0), &work);
  target.OnAbandoned(At(0), At(200), &work);
  BOOST_TEST((target.Expected(At(201), &work) > before));
}

// Guards against a request that waits in the host's own pool while another
// target is free.
BOOST_AUTO_TEST_CASE(WaitForAConnectionCounts) {
  TargetState full = ConnectedTarget(Distance::kSameDomain);
  const TargetState free = ConnectedTarget(Distance::kSameDomain);
  full.SetWaiting(2, 1);
  full.OnSent(At(0));
  BOOST_TEST((full.Cost(At(1)) > free.Cost(At(1)) + milliseconds(10)));
}

// Guards against bytes between regions for a reply that is early enough anyway,
// and against a late reply for the sake of bytes.
BOOST_AUTO_TEST_CASE(FarTargetMustBeClearlyBetter) {
  TargetState near = ConnectedTarget(Distance::kSameDomain);
  const TargetState far = ConnectedTarget(Distance::kOtherRegion);
  const PlacementNeeds needs = {.objective = milliseconds(240)};
  BOOST_TEST(
      (PlacementCost(near, needs, At(0)) < PlacementCost(far, needs, At(0))));
  near.OnUnreachable(At(0));
  BOOST_TEST(
      (PlacementCost(near, needs, At(1)) > PlacementCost(far, needs, At(1))));
  BOOST_TEST((PlacementCost(far, {}, At(1)) == far.Cost(At(1))));
}

// Guards against hedges to a paused target, whose reply comes too late.
BOOST_AUTO_TEST_CASE(HedgeToAStalledTargetIsTooLate) {
  TargetState target = ConnectedTarget(Distance::kSameDomain);
  const WorkEstimate work = WorkOf(milliseconds(20));
  const HedgeTiming timing = {
      .work = &work, .answer_by = At(200), .deadline = At(800)};
  target.OnSent(At(0), &work);
  BOOST_TEST(IsHedgeInTime(target, timing, At(1)));
  BOOST_TEST(!IsHedgeInTime(target, timing, At(120)));
  BOOST_TEST(IsHedgeInTime(target, timing, At(210)));
}

// Guards against connections that wait for replies of a paused target, and
// against losing the one whose reply shows the end of the pause.
BOOST_AUTO_TEST_CASE(OnlyTheOldestAbandonedRequestLingers) {
  TargetState target = ConnectedTarget(Distance::kSameDomain);
  target.OnSent(At(0));
  target.OnSent(At(5));
  BOOST_TEST((LingerTime(target, At(0)) > LingerTime(target, At(5))));
  target.OnReply(At(0), At(20));
  BOOST_TEST((LingerTime(target, At(5)) > milliseconds(300)));
}

// Guards against a bundle for a few parts that the host of another bundle can
// fetch as well, and against moving a part to a target that is much slower.
BOOST_AUTO_TEST_CASE(FarPartsShareABundle) {
  const std::vector<FarPart> parts = {
      {0, {{"a", milliseconds(50)}, {"b", milliseconds(55)}}},
      {1, {{"a", milliseconds(50)}}},
      {2, {{"a", milliseconds(60)}, {"b", milliseconds(52)}}},
      {3, {{"a", milliseconds(200)}, {"b", milliseconds(50)}}},
      {4, {{"a", milliseconds(40)}}},
      {5, {{"b", milliseconds(40)}}}};
  const auto groups = GroupFarParts(parts, milliseconds(15));
  BOOST_REQUIRE(groups.size() == 2U);
  BOOST_TEST(groups.at("a") == (std::vector<std::uint32_t>{0, 1, 2, 4}),
             boost::test_tools::per_element());
  BOOST_TEST(groups.at("b") == (std::vector<std::uint32_t>{3, 5}),
             boost::test_tools::per_element());
  BOOST_TEST(GroupFarParts({}, milliseconds(15)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
