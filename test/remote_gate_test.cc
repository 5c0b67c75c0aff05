#include <deque>

#include <boost/test/unit_test.hpp>

#include "src/daemon/remote_gate_front.h"
#include "src/daemon/remote_gate_owner.h"

namespace auburnyard {

namespace {

/// A front and an owner that exchange messages through queues.
struct Pair {
  Pair()
      : front({[this](const std::string&, proto::Envelope envelope) {
                 envelope.set_sender("front");
                 envelope.set_address("front-address");
                 envelope.set_start_nonce(5);
                 this->to_owner.push_back(std::move(envelope));
                 return this->bus_accepts;
               },
               [] {},
               [this](const AttemptId& attempt) {
                 this->started.push_back(attempt);
               },
               [this](const RemoteGateOutcome& outcome) {
                 this->outcomes.push_back(outcome);
               },
               [this](const std::string& id) {
                 this->timed_out_owners.push_back(id);
               }}),
        owner({[this](const std::string&, proto::Envelope envelope) {
                 envelope.set_sender("owner");
                 envelope.set_start_nonce(9);
                 this->to_front.push_back(std::move(envelope));
                 return true;
               },
               [] {},
               [this](const SubRequest& request) {
                 this->queued.push_back(request);
               },
               [this](const AttemptId& attempt, const std::string&, Reason) {
                 this->cancelled.push_back(attempt);
               }}) {}

  void Enqueue(const AttemptId& attempt) {
    HostRecord record;
    record.id = "owner";
    record.nonce = 9;
    SubRequest request;
    request.id = attempt;
    request.target = "t";
    request.deadline = this->now + std::chrono::seconds(1);
    this->front.Enqueue(record, request, this->now);
  }
  void Exchange() {
    this->front.Flush(this->now);
    for (const proto::Envelope& envelope : this->to_owner) {
      this->owner.OnMessage(envelope, this->now);
    }
    this->owner.Flush(this->now);
    for (const proto::Envelope& envelope : this->to_front) {
      this->front.OnMessage(envelope, this->now);
    }
    this->to_owner.clear();
    this->to_front.clear();
  }

  TimePoint now{std::chrono::hours(1)};
  bool bus_accepts = true;
  std::deque<proto::Envelope> to_owner;
  std::deque<proto::Envelope> to_front;
  std::vector<AttemptId> started;
  std::vector<AttemptId> cancelled;
  std::vector<std::string> timed_out_owners;
  std::vector<RemoteGateOutcome> outcomes;
  std::vector<SubRequest> queued;
  RemoteGateFront front;
  RemoteGateOwner owner;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(remote_gate_test)

// Guards against one message per sub-request, and against a duplicate message
// that runs a request twice.
BOOST_AUTO_TEST_CASE(RequestsShareAMessageAndDuplicatesAreIgnored) {
  Pair pair;
  pair.Enqueue("1");
  pair.Enqueue("2");
  pair.front.Flush(pair.now);
  BOOST_REQUIRE(pair.to_owner.size() == 1U);
  pair.to_owner.push_back(pair.to_owner.front());
  pair.Exchange();
  BOOST_TEST(pair.queued.size() == 2U);
  pair.owner.OnStarted("1");
  RemoteGateOutcome outcome;
  outcome.attempt = "1";
  outcome.ok = true;
  outcome.range = {3, 9};
  outcome.items = "[1]";
  pair.owner.OnFinished(outcome);
  pair.Exchange();
  BOOST_TEST(pair.started == std::vector<AttemptId>{"1"});
  BOOST_REQUIRE(pair.outcomes.size() == 1U);
  BOOST_TEST(pair.outcomes[0].ok);
  BOOST_TEST((pair.outcomes[0].range == KeyRange{3, 9}));
  BOOST_TEST(pair.outcomes[0].items == "[1]");
  BOOST_TEST(pair.front.outstanding() == 1U);
}

// Guards against "not run" for work that an unresponsive owner may have
// dispatched, and against "unknown" for work that was never sent.
BOOST_AUTO_TEST_CASE(OwnerTimeoutLeavesRunStateUnknown) {
  Pair pair;
  pair.Enqueue("sent");
  pair.Exchange();
  pair.Enqueue("unsent");
  pair.now += RemoteGateFront::kOwnerTimeout;
  pair.front.OnTimer(pair.now);
  BOOST_TEST(pair.timed_out_owners == std::vector<std::string>{"owner"});
  BOOST_REQUIRE(pair.outcomes.size() == 2U);
  BOOST_TEST(pair.outcomes[0].attempt == "unsent");
  BOOST_TEST((pair.outcomes[0].run == RunState::kNotRun));
  BOOST_TEST((pair.outcomes[1].run == RunState::kUnknown));
  BOOST_TEST((pair.outcomes[1].reason == Reason::kRetryOwnerSilent));
}

// Guards against a front that times out an owner with a long queue.
BOOST_AUTO_TEST_CASE(QueuedWorkIsReported) {
  Pair pair;
  pair.Enqueue("1");
  pair.Exchange();
  for (int i = 0; i < 20; ++i) {
    pair.now += RemoteGateOwner::kReportInterval;
    pair.owner.OnTimer(pair.now);
    pair.Exchange();
    pair.front.OnTimer(pair.now);
  }
  BOOST_TEST(pair.outcomes.empty());
  BOOST_TEST(pair.timed_out_owners.empty());
}

// Guards against run state "unknown" for a message that the bus refused.
BOOST_AUTO_TEST_CASE(RefusedSendIsNotRun) {
  Pair pair;
  pair.bus_accepts = false;
  pair.Enqueue("1");
  pair.front.Flush(pair.now);
  BOOST_REQUIRE(pair.outcomes.size() == 1U);
  BOOST_TEST((pair.outcomes[0].run == RunState::kNotRun));
}

// Guards against targets that keep running work of a front that has left.
BOOST_AUTO_TEST_CASE(WorkOfALostFrontIsCancelled) {
  Pair pair;
  pair.Enqueue("1");
  pair.Exchange();
  pair.owner.OnFrontLost("other");
  BOOST_TEST(pair.cancelled.empty());
  pair.owner.OnFrontLost("front");
  BOOST_TEST(pair.cancelled == std::vector<AttemptId>{"1"});
}

// Guards against a cancellation that overtakes its request or is lost.
BOOST_AUTO_TEST_CASE(CancelEndsAtTheOwner) {
  Pair pair;
  pair.Enqueue("1");
  pair.front.Cancel("1", Reason::kCancelledByWinner);
  BOOST_REQUIRE(pair.outcomes.size() == 1U);
  BOOST_TEST((pair.outcomes[0].run == RunState::kNotRun));
  pair.Enqueue("2");
  pair.Exchange();
  pair.front.Cancel("2", Reason::kCancelledByWinner);
  pair.Exchange();
  BOOST_TEST(pair.cancelled == std::vector<AttemptId>{"2"});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
