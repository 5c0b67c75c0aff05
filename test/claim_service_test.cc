#include "src/daemon/claim_service.h"

#include <map>

#include <boost/test/unit_test.hpp>

#include "src/daemon/claim_hooks.h"

namespace auburnyard {

namespace {

// A key-value service that delays its replies while `hold` is set and loses
// them while `down` is set.
struct DeferredStore {
  struct Value {
    std::uint64_t version = 0;
    std::string text;
  };

  ClaimStore Hooks() {
    return {.read =
                [this](const std::string& key, ClaimStore::Callback callback) {
                  this->Reply(std::move(callback),
                              {StoreStatus::kOk, this->values[key].version,
                               this->values[key].text});
                },
            .write =
                [this](const std::string& key, const std::string& text,
                       std::uint64_t expected, ClaimStore::Callback callback) {
                  Value& value = this->values[key];
                  ++this->writes;
                  if (value.version != expected) {
                    this->Reply(std::move(callback),
                                {.status = StoreStatus::kConflict});
                    return;
                  }
                  value = {value.version + 1, text};
                  this->Reply(std::move(callback),
                              {StoreStatus::kOk, value.version, ""});
                }};
  }

  void Reply(ClaimStore::Callback callback, StoreReply reply) {
    if (this->hold) {
      this->held.push_back(
          [callback = std::move(callback), reply] { callback(reply); });
    } else {
      callback(this->down ? StoreReply{} : reply);
    }
  }

  std::map<std::string, Value> values;
  std::vector<std::function<void()>> held;
  int writes = 0;
  bool hold = false;
  bool down = false;
};

struct Fixture {
  Fixture() { this->clock.Pause(); }

  std::shared_ptr<ClaimService> MakeService(const std::string& host) {
    return std::make_shared<ClaimService>(
        this->context, this->clock,
        ClaimOptions{.host = host, .start_nonce = host + "-1"},
        this->store.Hooks(), [this] { return this->wall; });
  }

  ClaimVerdict Claim(ClaimService& service, const std::string& request) {
    ClaimVerdict verdict = ClaimRefused{.detail = "no verdict"};
    service.Claim(request, this->clock.Now() + std::chrono::milliseconds(300),
                  [&verdict](ClaimVerdict result) { verdict = result; });
    this->clock.Advance(std::chrono::milliseconds(300));
    service.OnTimer();
    return verdict;
  }

  std::string id = "1800000000000-a";
  WallTime wall{1'800'000'000'005};
  boost::asio::io_context context;
  Clock clock;
  DeferredStore store;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claim_service_test, Fixture)

// Guards against two hosts that run the same request, and against a repeat that
// does not receive the recorded outcome.
BOOST_AUTO_TEST_CASE(SecondHostGetsTheOutcome) {
  const auto first = this->MakeService("h1");
  const auto second = this->MakeService("h2");
  const ClaimVerdict verdict = this->Claim(*first, this->id);
  const auto* grant = std::get_if<ClaimGranted>(&verdict);
  BOOST_REQUIRE(grant != nullptr);
  const auto undecided =
      std::get<ClaimRepeated>(this->Claim(*second, this->id));
  BOOST_TEST((RefusalOf(undecided).kind == ErrorKind::kOutcomeUnknown));
  BOOST_TEST((RefusalOf(undecided).run == RunState::kUnknown));
  first->RecordOutcome(this->id, *grant, ClaimState::kDone, RunState::kRun,
                       "complete");
  this->clock.Advance(std::chrono::seconds(1));
  first->OnTimer();
  const Refusal repeat =
      RefusalOf(std::get<ClaimRepeated>(this->Claim(*second, this->id)));
  BOOST_TEST((repeat.kind == ErrorKind::kDuplicateRequest));
  BOOST_TEST((repeat.run == RunState::kRun));
  BOOST_TEST(repeat.detail == "recorded outcome: done, complete");
}

// Guards against a request that waits forever, or that runs, while the
// key-value service is down.
BOOST_AUTO_TEST_CASE(ServiceDownMeansNotRun) {
  this->store.down = true;
  const auto service = this->MakeService("h1");
  const auto refused = std::get<ClaimRefused>(this->Claim(*service, this->id));
  BOOST_TEST((refused.kind == ErrorKind::kClaimUnavailable));
  BOOST_TEST((refused.run == RunState::kNotRun));
  // An older identifier may have run through another host.
  this->wall += std::chrono::seconds(2);
  const auto older =
      std::get<ClaimRefused>(this->Claim(*service, "1800000000000-b"));
  BOOST_TEST((older.run == RunState::kUnknown));
  BOOST_TEST(service->pending() == 0U);
}

// Guards against a dispatch after a reply that came too late.
BOOST_AUTO_TEST_CASE(LateReplyIsNotGranted) {
  this->store.hold = true;
  const auto service = this->MakeService("h1");
  BOOST_TEST(
      std::holds_alternative<ClaimRefused>(this->Claim(*service, this->id)));
  for (std::size_t i = 0; i < this->store.held.size(); ++i) {
    const auto reply = this->store.held[i];
    reply();
  }
  BOOST_TEST(service->pending() == 0U);
}

// Guards against claims that are never removed from the key-value service.
BOOST_AUTO_TEST_CASE(ExpiredClaimsAreRemoved) {
  const auto service = this->MakeService("h1");
  this->Claim(*service, this->id);
  const std::string key = ClaimKeyOf(this->id);
  BOOST_TEST(!this->store.values[key].text.empty());
  this->wall += kClaimRetention + std::chrono::minutes(5);
  const int writes = this->store.writes;
  for (int i = 0; i < 10'000; ++i) {
    service->SweepOne();
  }
  BOOST_TEST(this->store.values[key].text.empty());
  BOOST_TEST(this->store.writes == writes + 1);
}

// Guards against an absent key that counts as an outage, and against a write
// with an open outcome that counts as done or as refused.
BOOST_AUTO_TEST_CASE(PlatformOutcomes) {
  const auto read = [](PlatformStatus status) {
    return ToStoreReply(
        GetResult{.status = status, .entry = {.value = "v", .version = 3}});
  };
  BOOST_TEST((read(PlatformStatus::kOk).status == StoreStatus::kOk));
  BOOST_TEST(read(PlatformStatus::kOk).version == 3U);
  BOOST_TEST((read(PlatformStatus::kNotFound).status == StoreStatus::kOk));
  BOOST_TEST(read(PlatformStatus::kNotFound).version == 0U);
  BOOST_TEST(read(PlatformStatus::kNotFound).value.empty());
  BOOST_TEST(
      (read(PlatformStatus::kUnavailable).status == StoreStatus::kUnknown));
  const auto write = [](PlatformStatus status) {
    return ToStoreReply(WriteResult{.status = status, .version = 4}).status;
  };
  BOOST_TEST((write(PlatformStatus::kOk) == StoreStatus::kOk));
  BOOST_TEST((write(PlatformStatus::kConflict) == StoreStatus::kConflict));
  for (const PlatformStatus status :
       {PlatformStatus::kUnknown, PlatformStatus::kUnavailable,
        PlatformStatus::kRejected, PlatformStatus::kNotFound}) {
    BOOST_TEST((write(status) == StoreStatus::kUnknown));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
