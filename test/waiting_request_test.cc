#include <boost/test/unit_test.hpp>

#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::HoldingTarget;
using test::RelayServiceFixture;
using test::ScriptedReply;
using test::ScriptedServer;
using test::TargetReply;

// Long enough for a request that waits to reach a target by mistake.
constexpr milliseconds kSettle{150};

// A host with one connection to the target "old", which is occupied by the
// first of three requests.
class WaitingFixture : public RelayServiceFixture {
 public:
  explicit WaitingFixture(double warm_up_requests_per_second = 0,
                          std::string reply_headers = "")
      : old_target(std::move(reply_headers)) {
    this->SetRoute(/*idempotent=*/false, milliseconds(15'000),
                   warm_up_requests_per_second);
    this->targets.Upsert(Entry("old", this->old_target.address()));
    this->first = this->Ask("first");
    BOOST_REQUIRE(
        this->RunUntil([this] { return this->old_target.arrivals() == 1; }));
    this->second = this->Ask("second");
    this->third = this->Ask("third");
  }

  void Drain() {
    TargetEntry entry = Entry("old", this->old_target.address());
    entry.draining = true;
    entry.sequence = 1;
    this->targets.Upsert(entry);
  }
  // The request that was sent is answered by its target, the others without
  // reaching it.
  void CheckOldTargetGotNothingMore() {
    this->old_target.Release();
    BOOST_TEST(this->RunUntil([this] { return this->first->has_value(); }));
    BOOST_TEST((*this->first)->body == "held");
    this->RunFor(kSettle);
    BOOST_TEST(this->old_target.arrivals() == 1);
  }
  bool BothWaitingAnswered() const {
    return this->second->has_value() && this->third->has_value();
  }

  HoldingTarget old_target;
  ScriptedServer new_target{
      [](const std::string& head) { return TargetReply(head, "new"); }};
  AnswerPtr first;
  AnswerPtr second;
  AnswerPtr third;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(waiting_request_test)

// Guards against requests that wait for a connection being sent to a target
// that drains, which may end before it has run them.
BOOST_AUTO_TEST_CASE(RequestsLeaveADrainingTarget) {
  WaitingFixture fixture;
  fixture.targets.Upsert(
      WaitingFixture::Entry("new", fixture.new_target.address()));
  fixture.Drain();
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->body == "new");
  BOOST_TEST((*fixture.third)->body == "new");
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against requests that lose their place by the change of the target,
// and then miss their deadlines behind requests that arrived later.
BOOST_AUTO_TEST_CASE(MovedRequestsKeepTheirOrder) {
  WaitingFixture fixture;
  HoldingTarget busy_target;
  fixture.targets.Upsert(WaitingFixture::Entry("new", busy_target.address()));
  const auto sent = fixture.Ask("sent");
  BOOST_REQUIRE(
      fixture.RunUntil([&busy_target] { return busy_target.arrivals() == 1; }));
  const auto last = fixture.Ask("last");
  fixture.Drain();
  busy_target.Release();
  BOOST_TEST(fixture.RunUntil([&last] { return last->has_value(); }));
  BOOST_TEST(busy_target.order() ==
                 (std::vector<std::string>{"sent", "second", "third", "last"}),
             boost::test_tools::per_element());
}

// Guards against requests that wait until their deadline although no target may
// receive them.
BOOST_AUTO_TEST_CASE(RequestsWithoutAnotherTargetAreRefusedAtOnce) {
  WaitingFixture fixture;
  fixture.Drain();
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  for (const auto& answer : {fixture.second, fixture.third}) {
    BOOST_TEST((*answer)->head.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!test::HeaderOf((*answer)->head, "Retry-After").empty());
  }
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against waiting requests being sent to a failure domain after its
// evacuation.
BOOST_AUTO_TEST_CASE(RequestsLeaveAnEvacuatedDomain) {
  WaitingFixture fixture;
  TargetEntry other =
      WaitingFixture::Entry("new", fixture.new_target.address());
  other.failure_domain = "d2";
  fixture.targets.Upsert(other);
  fixture.targets.SetEvacuated("d1", true);
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->body == "new");
  BOOST_TEST((*fixture.third)->body == "new");
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against the same for evacuations that a host reads together with all
// other keys.
BOOST_AUTO_TEST_CASE(RequestsLeaveADomainThatWasReadAsEvacuated) {
  WaitingFixture fixture;
  fixture.targets.ResetEvacuated({"d1"});
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->head.starts_with("HTTP/1.1 503"));
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against waiting requests being sent to a target whose registration was
// removed.
BOOST_AUTO_TEST_CASE(RequestsLeaveARemovedTarget) {
  WaitingFixture fixture;
  fixture.targets.Upsert(
      WaitingFixture::Entry("new", fixture.new_target.address()));
  fixture.targets.Remove("old");
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->body == "new");
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against requests that were placed at a warm target and reach it after
// it has become cold, in excess of its rate. This host has no share in the
// rate, because it is not registered.
BOOST_AUTO_TEST_CASE(RequestsLeaveATargetThatBecomesCold) {
  WaitingFixture fixture(/*warm_up_requests_per_second=*/1);
  TargetEntry cold = WaitingFixture::Entry("old", fixture.old_target.address());
  cold.remaining_warm_up = milliseconds(60'000);
  cold.sequence = 1;
  fixture.targets.Upsert(cold);
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->head.starts_with("HTTP/1.1 503"));
  fixture.CheckOldTargetGotNothingMore();
}

// Guards against the same if a reply reports it.
BOOST_AUTO_TEST_CASE(RequestsLeaveATargetThatRepliesAsCold) {
  WaitingFixture fixture(/*warm_up_requests_per_second=*/1,
                         "X-Auburnyard-Warmup-Ms: 60000\r\n");
  fixture.CheckOldTargetGotNothingMore();
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->head.starts_with("HTTP/1.1 503"));
}

// Guards against requests that leave a cold target although it states no rate.
BOOST_AUTO_TEST_CASE(RequestsStayAtAColdTargetWithoutARate) {
  WaitingFixture fixture(/*warm_up_requests_per_second=*/0,
                         "X-Auburnyard-Warmup-Ms: 60000\r\n");
  fixture.old_target.Release();
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  BOOST_TEST((*fixture.second)->body == "held");
}

// Guards against a domain that gets no requests after its evacuation has ended.
BOOST_AUTO_TEST_CASE(DomainReceivesRequestsAfterItsEvacuation) {
  WaitingFixture fixture;
  fixture.targets.SetEvacuated("d1", true);
  BOOST_TEST(
      fixture.RunUntil([&fixture] { return fixture.BothWaitingAnswered(); }));
  fixture.targets.SetEvacuated("d1", false);
  fixture.old_target.Release();
  const auto later = fixture.Ask("later");
  BOOST_TEST(fixture.RunUntil([&later] { return later->has_value(); }));
  BOOST_TEST((*later)->body == "held");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
