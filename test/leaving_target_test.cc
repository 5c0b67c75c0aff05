#include <algorithm>
#include <atomic>

#include <boost/test/unit_test.hpp>

#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;
using test::HoldingTarget;
using test::RelayServiceFixture;
using test::ScriptedServer;
using test::TargetReply;

constexpr std::string_view kAnnouncement = "Server-Leaving: 1\r\n";
// Long enough for a request that waits to reach a target by mistake.
constexpr milliseconds kSettle{150};

// Targets "leaving", whose replies have the given headers, and "other", which
// is in a more distant region, so that it is chosen only without the first.
class AnnouncementFixture : public RelayServiceFixture {
 public:
  explicit AnnouncementFixture(std::string reply_headers)
      : headers(std::move(reply_headers)) {
    this->SetRoute(/*idempotent=*/true, milliseconds(2'000));
    TargetEntry far = Entry("other", this->other.address());
    far.failure_domain = "d2";
    this->targets.Upsert(far);
    this->targets.Upsert(this->LeavingEntry(/*sequence=*/1));
  }

  TargetEntry LeavingEntry(std::uint64_t sequence,
                           std::int64_t started_at_ms = 1'000) {
    TargetEntry entry = Entry("leaving", this->leaving.address());
    entry.started_at_ms = started_at_ms;
    entry.sequence = sequence;
    return entry;
  }
  std::string Answer(const std::string& id) {
    const auto answer = this->Ask(id);
    BOOST_REQUIRE(this->RunUntil([&answer] { return answer->has_value(); }));
    return (*answer)->body;
  }

  std::string headers;
  ScriptedServer leaving{[this](const std::string& head) {
    return TargetReply(head, "leaving", this->headers);
  }};
  ScriptedServer other{
      [](const std::string& head) { return TargetReply(head, "other"); }};
};

// One connection to the target "old", which is occupied by the first of three
// requests and announces in its reply that it leaves.
class WaitingFixture : public RelayServiceFixture {
 public:
  WaitingFixture() {
    this->SetRoute(/*idempotent=*/false, milliseconds(15'000));
    this->targets.Upsert(Entry("old", this->old_target.address()));
    for (const char* id : {"first", "second", "third"}) {
      this->answers.push_back(this->Ask(id));
    }
    BOOST_REQUIRE(
        this->RunUntil([this] { return this->old_target.arrivals() == 1; }));
  }
  bool AllAnswered() const {
    return std::all_of(this->answers.begin(), this->answers.end(),
                       [](const auto& answer) { return answer->has_value(); });
  }

  HoldingTarget old_target{std::string(kAnnouncement)};
  std::vector<AnswerPtr> answers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_target_test)

// Guards against requests to a target that announced in an answer that it
// leaves, whatever the store says of it.
BOOST_AUTO_TEST_CASE(AnnouncementHoldsForTheIncarnation) {
  AnnouncementFixture fixture{std::string(kAnnouncement)};
  BOOST_TEST(fixture.Answer("first") == "leaving");
  BOOST_TEST(fixture.Answer("second") == "other");
  fixture.targets.Upsert(fixture.LeavingEntry(/*sequence=*/2));
  BOOST_TEST(fixture.Answer("after-report") == "other");
  TargetEntry far =
      AnnouncementFixture::Entry("other", fixture.other.address());
  far.failure_domain = "d2";
  fixture.targets.Reset({far, fixture.LeavingEntry(/*sequence=*/3)});
  BOOST_TEST(fixture.Answer("after-resync") == "other");
  fixture.targets.Remove("leaving");
  fixture.targets.Upsert(fixture.LeavingEntry(/*sequence=*/4));
  BOOST_TEST(fixture.Answer("after-return") == "other");
}

// Guards against a new start of a target being taken for the one that left.
BOOST_AUTO_TEST_CASE(NextIncarnationStartsClean) {
  AnnouncementFixture fixture{std::string(kAnnouncement)};
  BOOST_TEST(fixture.Answer("first") == "leaving");
  BOOST_TEST(fixture.Answer("second") == "other");
  fixture.headers.clear();
  fixture.targets.Upsert(
      fixture.LeavingEntry(/*sequence=*/1, /*started_at_ms=*/2'000));
  BOOST_TEST(fixture.Answer("third") == "leaving");
  BOOST_TEST(fixture.Answer("fourth") == "leaving");
}

// Guards against an answer of the old incarnation that excludes the new one.
BOOST_AUTO_TEST_CASE(LateAnswerOfTheOldIncarnationDoesNotMarkTheNewOne) {
  RelayServiceFixture fixture;
  HoldingTarget old_target{std::string(kAnnouncement)};
  ScriptedServer new_target(
      [](const std::string& head) { return TargetReply(head, "new"); });
  fixture.SetRoute(/*idempotent=*/false, milliseconds(15'000));
  TargetEntry entry = RelayServiceFixture::Entry("t", old_target.address());
  entry.started_at_ms = 1'000;
  fixture.targets.Upsert(entry);
  const auto first = fixture.Ask("first");
  BOOST_REQUIRE(
      fixture.RunUntil([&old_target] { return old_target.arrivals() == 1; }));
  entry.started_at_ms = 2'000;
  entry.address = new_target.address();
  fixture.targets.Upsert(entry);
  old_target.Release();
  BOOST_REQUIRE(fixture.RunUntil([&first] { return first->has_value(); }));
  BOOST_TEST((*first)->body == "held");
  const auto second = fixture.Ask("second");
  BOOST_REQUIRE(fixture.RunUntil([&second] { return second->has_value(); }));
  BOOST_TEST((*second)->body == "new");
}

// Guards against requests that wait for a connection and are sent after the
// announcement.
BOOST_AUTO_TEST_CASE(WaitingRequestsMoveToAnotherTarget) {
  WaitingFixture fixture;
  ScriptedServer new_target(
      [](const std::string& head) { return TargetReply(head, "new"); });
  fixture.targets.Upsert(WaitingFixture::Entry("new", new_target.address()));
  fixture.old_target.Release();
  BOOST_TEST(fixture.RunUntil([&fixture] { return fixture.AllAnswered(); }));
  BOOST_TEST((*fixture.answers[0])->body == "held");
  BOOST_TEST((*fixture.answers[1])->body == "new");
  BOOST_TEST((*fixture.answers[2])->body == "new");
  fixture.RunFor(kSettle);
  BOOST_TEST(fixture.old_target.arrivals() == 1);
}

// Guards against requests that wait until their deadline although all targets
// leave.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedAtOnceIfAllTargetsLeave) {
  WaitingFixture fixture;
  fixture.old_target.Release();
  BOOST_TEST(fixture.RunUntil([&fixture] { return fixture.AllAnswered(); }));
  BOOST_TEST((*fixture.answers[0])->body == "held");
  const auto last = fixture.Ask("last");
  BOOST_TEST(fixture.RunUntil([&last] { return last->has_value(); }));
  for (const auto& answer : {fixture.answers[1], fixture.answers[2], last}) {
    BOOST_TEST((*answer)->head.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!test::HeaderOf((*answer)->head, "Retry-After").empty());
  }
  fixture.RunFor(kSettle);
  BOOST_TEST(fixture.old_target.arrivals() == 1);
}

// Guards against new connections to a target that leaves.
BOOST_AUTO_TEST_CASE(NoConnectionIsOpenedInAdvance) {
  AnnouncementFixture fixture{std::string(kAnnouncement) +
                              "Connection: close\r\n"};
  BOOST_TEST(fixture.Answer("first") == "leaving");
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(fixture.Answer("next-" + std::to_string(i)) == "other");
  }
  fixture.RunFor(milliseconds(1'200));
  BOOST_TEST(fixture.leaving.connections() == 1);
}

// Guards against other values, and bytes that answer no request, taking a
// target out of use.
BOOST_AUTO_TEST_CASE(OtherBytesChangeNothing) {
  for (const char* const headers :
       {"Server-Leaving: 0\r\n", "Server-Leaving: \r\n",
        "Server-Leaving: 1, 1\r\n", "Server-Leaving: true\r\n",
        "Server-Leaving: 01\r\n", "X-Server-Leaving: 1\r\n"}) {
    AnnouncementFixture fixture{headers};
    BOOST_TEST(fixture.Answer("first") == "leaving");
    BOOST_TEST(fixture.Answer("second") == "leaving", headers);
  }
  // Two announcements may be those of two heads that were read as one.
  AnnouncementFixture repeated{"Server-Leaving: 1\r\nServer-Leaving: 1\r\n"};
  BOOST_TEST(repeated.Answer("first") != "leaving");
  BOOST_TEST(repeated.metrics.Render().find("targets_leaving") ==
             std::string::npos);
  // A refusal that names no request, as the first reply on its connection.
  RelayServiceFixture fixture;
  fixture.SetRoute(/*idempotent=*/true, milliseconds(2'000));
  std::atomic<bool> refuses{true};
  ScriptedServer target([&refuses](const std::string& head) {
    if (refuses.exchange(false)) {
      return test::ScriptedReply{
          "HTTP/1.1 503 Service Unavailable\r\nServer-Leaving: 1\r\n"
          "X-Auburnyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    }
    return TargetReply(head, "target");
  });
  fixture.targets.Upsert(RelayServiceFixture::Entry("t", target.address()));
  for (const char* id : {"refused", "answered"}) {
    const auto answer = fixture.Ask(id);
    BOOST_REQUIRE(fixture.RunUntil([&answer] { return answer->has_value(); }));
    BOOST_TEST((*answer)->head.starts_with("HTTP/1.1 200") ==
               (std::string_view(id) == "answered"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
