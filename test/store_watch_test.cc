#include "src/relay/store_watch.h"

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "src/relay/store_registration.h"
#include "util/relay_standin/store_standin.h"

namespace auburnyard {

namespace {

constexpr std::chrono::seconds kTestTimeout{20};  // terminates a hanging test
constexpr std::chrono::milliseconds kChangeLimit{3'000};  // by default

class WatchFixture {
 public:
  WatchFixture() { this->store.Listen(); }

  void Start() {
    StoreWatch::Hooks hooks;
    hooks.on_snapshot = [this](const StorePage& page) {
      ++this->snapshots;
      this->known.clear();
      for (const StoreItem& item : page.items) {
        this->known[item.key] = item.value;
      }
      return !this->peek_prefix.empty();
    };
    hooks.peek_prefix = this->peek_prefix;
    hooks.on_peek = [](const StorePage&) { return true; };
    hooks.on_changes = [this](const StorePage& page) {
      for (const StoreItem& item : page.items) {
        if (item.removed) {
          this->known.erase(item.key);
        } else {
          this->known[item.key] = item.value;
        }
      }
    };
    hooks.on_lost = [this] { ++this->losses; };
    hooks.on_regained = [this] { ++this->regained; };
    hooks.on_call = [](std::string_view, StoreCallOutcome) {};
    this->watch = std::make_shared<StoreWatch>(
        this->context, this->store_codec, ParseHostPort(this->store.address()),
        "", 1, StoreTiming(kChangeLimit), std::move(hooks));
    this->watch->Start();
  }
  ~WatchFixture() {
    if (this->watch != nullptr) {
      this->watch->Stop();
    }
    this->io.run_for(std::chrono::milliseconds(1));
  }
  /// Waits for a watch after the first one, which is answered at once.
  bool WaitsForChanges() {
    return this->Eventually([this] {
      return this->store.calls("/kv-watch") > 1 &&
             this->store.pending_watches() == 1;
    });
  }
  bool Eventually(const std::function<bool()>& condition) {
    const TimePoint limit = this->clock.Now() + kTestTimeout;
    while (!condition() && this->clock.Now() < limit) {
      this->io.restart();
      this->io.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  StoreCodec store_codec = platform::MakeStoreCodec();
  RelayContext context{this->io, this->clock, this->codec};
  util::StoreStandin store{this->io};
  std::map<std::string, std::string> known;
  std::string peek_prefix;
  int snapshots = 0;
  int losses = 0;
  int regained = 0;
  std::shared_ptr<StoreWatch> watch;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_watch_test)

// Guards against keys being lost between two pages.
BOOST_AUTO_TEST_CASE(AllPagesAreRead) {
  WatchFixture fixture;
  for (int i = 0; i < 130; ++i) {
    fixture.store.Put("key/" + std::to_string(i), std::to_string(i));
  }
  fixture.Start();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known.size() == 130U; }));
  BOOST_TEST(fixture.known["key/129"] == "129");
}

// Guards against changes being missed between the read and the watch, or
// between two watches.
BOOST_AUTO_TEST_CASE(ChangesArriveInOrder) {
  WatchFixture fixture;
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    fixture.store.Put("a", std::to_string(i));
    const std::string expected = std::to_string(i);
    BOOST_TEST(fixture.Eventually(
        [&fixture, &expected] { return fixture.known["a"] == expected; }));
  }
  fixture.store.Remove("a");
  BOOST_TEST(
      fixture.Eventually([&fixture] { return !fixture.known.contains("a"); }));
  BOOST_TEST(fixture.snapshots == 1);
}

// Guards against missing changes whose history the store has dropped.
BOOST_AUTO_TEST_CASE(LostHistoryIsReadAgain) {
  WatchFixture fixture;
  fixture.store.Put("a", "1");
  fixture.Start();
  BOOST_TEST(fixture.Eventually([&fixture] { return fixture.snapshots == 1; }));
  fixture.store.CompactHistory();
  fixture.store.Put("b", "2");
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["b"] == "2"; }));
  BOOST_TEST(fixture.snapshots >= 2);
}

// Guards against a host that starts during an outage of the store and waits for
// its first read long after the outage has ended, and against time-outs that a
// slow store never meets.
BOOST_AUTO_TEST_CASE(FirstReadsTimeOutSoon) {
  const StoreTiming timing(kChangeLimit);
  BOOST_TEST((timing.ReadTimeout(0) <= std::chrono::milliseconds(700)));
  for (std::size_t failures = 1; failures < 10; ++failures) {
    BOOST_TEST(
        (timing.ReadTimeout(failures) >= timing.ReadTimeout(failures - 1)));
  }
  WatchFixture fixture;
  fixture.store.SetFault(util::StoreFault::kSilent);
  fixture.store.Put("a", "1");
  fixture.Start();
  BOOST_TEST(fixture.Eventually(
      [&fixture] { return fixture.store.calls("/kv-range") >= 2; }));
  fixture.store.SetFault(util::StoreFault::kNone);
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["a"] == "1"; }));
}

// Guards against changes being delayed by many others: a watch that pauses
// between full answers falls further behind with each of them.
BOOST_AUTO_TEST_CASE(ManyChangesAreReadWithoutPauses) {
  constexpr int kChanges = 25'000;
  WatchFixture fixture;
  fixture.Start();
  BOOST_TEST(fixture.Eventually([&fixture] { return fixture.snapshots == 1; }));
  for (int i = 0; i < kChanges; ++i) {
    fixture.store.Put("target/" + std::to_string(i % 800), std::to_string(i));
  }
  fixture.store.Put("routes", "new");
  BOOST_TEST(fixture.Eventually(
      [&fixture] { return fixture.known["routes"] == "new"; }));
}

// Guards against pauses while more changes are available, and against calls
// without a pause while changes are rare.
BOOST_AUTO_TEST_CASE(PauseDependsOnAvailableChanges) {
  constexpr std::chrono::milliseconds kMaxPause{1'000};
  const Duration quiet = detail::PauseAfter({}, kMaxPause, kMaxPause);
  BOOST_TEST((quiet > Duration::zero()));
  StorePage changes = {.items = {{.key = "a"}}};
  BOOST_TEST((detail::PauseAfter(changes, quiet, kMaxPause) > quiet));
  BOOST_TEST((detail::PauseAfter(changes, kMaxPause, kMaxPause) == kMaxPause));
  BOOST_TEST((detail::PauseAfter(changes, Duration::zero(), kMaxPause) >
              Duration::zero()));
  changes.more = true;
  BOOST_TEST(
      (detail::PauseAfter(changes, kMaxPause, kMaxPause) == Duration::zero()));
}

// Guards against stale data after an outage, and against an outage that clears
// the data.
BOOST_AUTO_TEST_CASE(OutageKeepsDataAndEndsWithChanges) {
  WatchFixture fixture;
  fixture.store.Put("a", "1");
  fixture.Start();
  BOOST_TEST(fixture.Eventually([&fixture] { return fixture.snapshots == 1; }));
  fixture.store.SetFault(util::StoreFault::kBusy);
  fixture.store.Put("a", "2");
  const std::uint64_t before = fixture.store.calls("/kv-watch");
  BOOST_TEST(fixture.Eventually([&fixture, before] {
    return fixture.store.calls("/kv-watch") > before + 1;
  }));
  BOOST_TEST(fixture.known["a"] == "1");
  fixture.store.SetFault(util::StoreFault::kNone);
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["a"] == "2"; }));
  BOOST_TEST(fixture.regained >= 1);
}

// Guards against peeks that put off the watch which confirms an old read.
BOOST_AUTO_TEST_CASE(PeeksLeaveTimeToConfirmTheRead) {
  WatchFixture fixture;
  fixture.peek_prefix = "hosts/";
  fixture.Start();
  BOOST_REQUIRE(
      fixture.Eventually([&fixture] { return fixture.snapshots == 1; }));
  const TimePoint read = fixture.clock.Now();
  BOOST_REQUIRE(fixture.Eventually(
      [&fixture] { return fixture.store.calls("/kv-watch") == 1; }));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - read) <
             0.8 * ToMilliseconds(kChangeLimit));
}

// Guards against a late change after its answer was lost without a trace.
BOOST_AUTO_TEST_CASE(LostAnswerIsRepeatedWithinTheChangeLimit) {
  WatchFixture fixture;
  fixture.Start();
  BOOST_REQUIRE(fixture.WaitsForChanges());
  fixture.store.SetFault(util::StoreFault::kLostAnswers);
  fixture.store.Put("a", "1");
  BOOST_REQUIRE(fixture.Eventually(
      [&fixture] { return fixture.store.pending_watches() == 0; }));
  fixture.store.SetFault(util::StoreFault::kNone);
  const TimePoint ended = fixture.clock.Now();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["a"] == "1"; }));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - ended) <
             ToMilliseconds(kChangeLimit));
}

// Guards against a call during an outage that holds back the recovery.
BOOST_AUTO_TEST_CASE(CallsDuringAnOutageTimeOutSoon) {
  WatchFixture fixture;
  fixture.Start();
  BOOST_REQUIRE(fixture.WaitsForChanges());
  fixture.store.SetFault(util::StoreFault::kLostAnswers);
  fixture.store.Put("a", "1");
  BOOST_REQUIRE(fixture.Eventually([&fixture] { return fixture.losses == 1; }));
  const std::uint64_t before = fixture.store.calls("/kv-watch");
  BOOST_REQUIRE(fixture.Eventually([&fixture, before] {
    return fixture.store.calls("/kv-watch") > before;
  }));
  fixture.store.SetFault(util::StoreFault::kNone);
  const TimePoint ended = fixture.clock.Now();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["a"] == "1"; }));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - ended) <
             ToMilliseconds(kChangeLimit));
}

// Guards against changes received from another host being reverted or repeated
// by an older answer of the store.
BOOST_AUTO_TEST_CASE(ChangesFromOtherHostsAreNotRepeated) {
  WatchFixture fixture;
  fixture.store.Put("a", "1");
  fixture.Start();
  BOOST_TEST(fixture.Eventually([&fixture] { return fixture.snapshots == 1; }));
  fixture.store.SetFault(util::StoreFault::kBusy);
  BOOST_TEST(fixture.Eventually([&fixture] { return fixture.losses == 1; }));
  fixture.store.Put("a", "2");  // revision 3, received from another host
  fixture.known["a"] = "from another host";
  fixture.watch->Advance({.revision = 3});
  fixture.store.Put("b", "3");
  fixture.store.SetFault(util::StoreFault::kNone);
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known["b"] == "3"; }));
  BOOST_TEST(fixture.known["a"] == "from another host");
}

// Guards against a registration that remains after its host has left, and
// against one that is not written again after its lease has ended.
BOOST_AUTO_TEST_CASE(RegistrationFollowsItsLease) {
  WatchFixture fixture;
  StoreRegistration::Hooks hooks;
  hooks.on_call = [](std::string_view, StoreCallOutcome) {};
  StoreItem item;
  item.key = "hosts/a";
  item.value = "{}";
  auto registration = std::make_shared<StoreRegistration>(
      fixture.context, fixture.store_codec,
      ParseHostPort(fixture.store.address()), item, 1, std::move(hooks));
  registration->Start();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.store.Has("hosts/a"); }));
  fixture.store.RevokeAllLeases();
  BOOST_TEST(!fixture.store.Has("hosts/a"));
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.store.Has("hosts/a"); }));
  registration->Release();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return !fixture.store.Has("hosts/a"); }));
}

// Guards against keeping keys that a restored store no longer has, and against
// missing changes whose revisions were assigned a second time.
BOOST_AUTO_TEST_CASE(RestoredStoreIsReadAgain) {
  WatchFixture fixture;
  fixture.store.Put("a", "1");
  fixture.store.SaveCopy();
  fixture.Start();
  BOOST_REQUIRE(fixture.WaitsForChanges());
  fixture.store.SetFault(util::StoreFault::kBusy);
  fixture.store.Put("a", "2");
  fixture.store.Put("b", "2");
  fixture.watch->Advance({.revision = 4});
  fixture.known = {{"a", "2"}, {"b", "2"}};
  fixture.store.RestoreCopy();
  for (int i = 0; i < 4; ++i) {
    fixture.store.Put("c", std::to_string(i));  // revisions 3 to 6
  }
  fixture.store.SetFault(util::StoreFault::kNone);
  fixture.store.Put("d", "1");
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.known.contains("d"); }));
  BOOST_TEST(fixture.known["a"] == "1");
  BOOST_TEST(!fixture.known.contains("b"));
  BOOST_TEST(fixture.known["c"] == "3");
}

// Guards against a host that trusts a lease of an older epoch: the registration
// is lost, and its lease identifier may be that of another host.
BOOST_AUTO_TEST_CASE(RegistrationIsWrittenAgainToARestoredStore) {
  constexpr std::chrono::seconds kLimit{8};  // one renewal and a margin
  WatchFixture fixture;
  StoreRegistration::Hooks hooks;
  hooks.on_call = [](std::string_view, StoreCallOutcome) {};
  StoreItem item;
  item.key = "hosts/a";
  item.value = "{}";
  fixture.store.SaveCopy();
  auto registration = std::make_shared<StoreRegistration>(
      fixture.context, fixture.store_codec,
      ParseHostPort(fixture.store.address()), item, 1, std::move(hooks));
  registration->Start();
  BOOST_REQUIRE(
      fixture.Eventually([&fixture] { return fixture.store.Has("hosts/a"); }));
  fixture.store.RestoreCopy();
  BOOST_REQUIRE(!fixture.store.Has("hosts/a"));
  // The lease of another host has the same identifier.
  auto other_host = std::make_shared<HttpConnection>(
      fixture.io, "127.0.0.1", ParseHostPort(fixture.store.address()).port);
  other_host->Exchange(
      fixture.store_codec.encode_lease(std::chrono::seconds(18)),
      std::chrono::seconds(1), [](const ExchangeResult&) {});
  const TimePoint restored = fixture.clock.Now();
  BOOST_TEST(fixture.Eventually([&] {
    return fixture.store.Has("hosts/a") ||
           fixture.clock.Now() > restored + kLimit;
  }));
  BOOST_TEST(fixture.store.Has("hosts/a"));
  registration->Release();
  other_host->Close();
  BOOST_TEST(
      fixture.Eventually([&fixture] { return !fixture.store.Has("hosts/a"); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
