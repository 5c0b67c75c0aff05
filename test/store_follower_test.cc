#include "src/relay/store_follower.h"

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "src/relay/mirror_server.h"
#include "util/relay_standin/store_standin.h"

namespace auburnyard {

namespace {

constexpr int kMaxPolls = 4'000;  // terminates a hanging test
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

constexpr std::string_view kRoutes =
    R"({"version":3,"routes":[],"services":[],"limits":{}})";

constexpr std::string_view kNewerRoutes =
    R"({"version":4,"routes":[],"services":[],"limits":{}})";

/// Registration of a host whose mirror is followed if it has the most cores.
std::string HostValue(std::string_view mirror_address, int cores) {
  return R"({"address":"","failure_domain":"d1","cores":)" +
         std::to_string(cores) + R"(,"mirror":")" +
         std::string(mirror_address) + R"("})";
}

class FollowerFixture {
 public:
  explicit FollowerFixture(bool pause_clock = true) {
    if (pause_clock) {
      this->clock.Pause();
    }
    this->store.Listen();
    this->store.Put("op/config", std::string(kRoutes));
    this->service.SetOutdatedCheck(
        [this] { return this->follower->outdated(); });
    this->follower = std::make_unique<StoreFollower>(
        this->context, this->store_codec, this->schema,
        ParseHostPort(this->store.address()),
        StoreFollower::Identity{.host_name = "h1", .failure_domain = "d1"},
        this->service, this->targets, this->hosts, this->metrics);
    this->follower->Start();
  }
  ~FollowerFixture() {
    this->follower->Stop();
    this->io.run_for(std::chrono::milliseconds(1));
  }

  bool Eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < kMaxPolls && !condition(); ++i) {
      this->io.restart();
      this->io.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }
  /// Status line of the answer to a request that matches no route.
  std::string AnswerWithoutRoute() {
    CallerRequest request;
    request.host = "none.example";
    request.path = "/none/";
    request.request_id = "id";
    std::string head;
    this->service.Handle(
        std::move(request),
        [&head](const CallerAnswer& answer) { head = answer.head; },
        /*from_peer=*/false);
    return head.substr(0, head.find('\r'));
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  StoreCodec store_codec = platform::MakeStoreCodec();
  StoreSchema schema = platform::MakeStoreSchema();
  RelayContext context{this->io, this->clock, this->codec};
  util::StoreStandin store{this->io};
  HostTable hosts;
  RelayMetrics metrics;
  TargetTable targets{this->context,
                      {"d1", "r1"},
                      {{"d1", "r1"}},
                      this->hosts,
                      {}};
  PeerTable peers{this->context, this->hosts, "h1", "d1"};
  RelayService service{this->context, this->targets, this->peers, this->metrics,
                       RepeatBudgetLimits()};
  std::unique_ptr<StoreFollower> follower;
  const std::chrono::milliseconds change_limit{3'000};  // by default
};

bool HasStatus(const std::string& line, int status) {
  return line.find(std::to_string(status)) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_follower_test)

// Guards against a 404 for a route that must be in force, from old data.
BOOST_AUTO_TEST_CASE(DataOlderThanTheChangeLimitDeniesNoRoute) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.store.calls("/kv-watch") > 1 &&
           fixture.store.pending_watches() == 1;
  }));
  BOOST_TEST(HasStatus(fixture.AnswerWithoutRoute(), kStatusNotFound));
  fixture.clock.Advance(fixture.change_limit + std::chrono::milliseconds(1));
  BOOST_TEST(HasStatus(fixture.AnswerWithoutRoute(), kStatusUnavailable));
}

// Guards against a change limit that is read again and has no effect.
BOOST_AUTO_TEST_CASE(ChangeLimitIsReplaced) {
  constexpr std::chrono::milliseconds kLongerLimit{6'000};
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.store.calls("/kv-watch") > 1 &&
           fixture.store.pending_watches() == 1;
  }));
  fixture.clock.Advance(fixture.change_limit + std::chrono::milliseconds(1));
  BOOST_TEST(fixture.follower->outdated());
  fixture.follower->SetChangeLimit(kLongerLimit);
  BOOST_TEST(!fixture.follower->outdated());
}

// Guards against metrics that do not show how late a configuration came into
// force, or that calls to the store are lost without an error.
BOOST_AUTO_TEST_CASE(MetricsShowLateConfigurationsAndLostAnswers) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.store.calls("/kv-watch") > 1 &&
           fixture.store.pending_watches() == 1;
  }));
  fixture.clock.Advance(std::chrono::seconds(2));
  fixture.store.Put("op/config", std::string(kNewerRoutes));
  BOOST_REQUIRE(fixture.Eventually(
      [&fixture] { return fixture.service.routes()->version() == 4; }));
  const auto shows = [&fixture](std::string_view line) {
    return fixture.metrics.Render().find(line) != std::string::npos;
  };
  BOOST_TEST(shows("configuration_delay_seconds_count 1"));
  BOOST_TEST(shows("configuration_delay_seconds_sum 2"));
  fixture.store.SetFault(util::StoreFault::kLostAnswers);
  BOOST_TEST(fixture.Eventually(
      [&shows] { return shows(R"(kind="watch",outcome="timed_out")"); }));
}

// Guards against a 404 for a route that was added while the host could not read
// the store, and against a host that never answers 404 again.
BOOST_AUTO_TEST_CASE(RoutesAreDeniedOnlyWithCurrentData) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.service.routes() != nullptr &&
           fixture.store.pending_watches() > 0;
  }));
  fixture.store.Put("other", "1");
  BOOST_TEST(
      fixture.Eventually([&fixture] { return !fixture.follower->outdated(); }));
  BOOST_TEST(HasStatus(fixture.AnswerWithoutRoute(), kStatusNotFound));
  fixture.store.SetFault(util::StoreFault::kBusy);
  fixture.clock.Advance(std::chrono::seconds(10));
  BOOST_TEST(HasStatus(fixture.AnswerWithoutRoute(), kStatusUnavailable));
  fixture.store.SetFault(util::StoreFault::kNone);
  fixture.store.Put("other", "2");
  BOOST_TEST(
      fixture.Eventually([&fixture] { return !fixture.follower->outdated(); }));
  BOOST_TEST(HasStatus(fixture.AnswerWithoutRoute(), kStatusNotFound));
}

// Guards against a host that ends, or follows the store no longer, because of
// odd entries among the registrations, in its first read and among later
// changes.
BOOST_AUTO_TEST_CASE(OddRegistrationsAreSkipped) {
  const auto registration = [](int port) {
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"d1","version":"v1","slots":2,"state":"ready",)"
           R"("warmup_left_ms":0,"seq_num":1})";
  };
  FollowerFixture fixture;
  const auto put_odd = [&](const std::string& prefix) {
    fixture.store.Put("servers/" + prefix + "nested",
                      std::string(100'000, '['));
    fixture.store.Put("servers/" + prefix + "port", registration(70'000));
    fixture.store.Put("servers/" + prefix + "number",
                      R"({"slots":1e999,"seq_num":99999999999999999999})");
    fixture.store.Put("servers/" + prefix + "key\r\nX: y", registration(80));
    fixture.store.Put("servers/", registration(80));
    fixture.store.Put("hosts/" + prefix + "odd", R"({"address":7})");
  };
  put_odd("a");
  fixture.store.Put("servers/first", registration(81));
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.targets.size() == 1 && fixture.store.pending_watches() > 0;
  }));
  put_odd("b");
  fixture.store.Put("servers/second", registration(82));
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.targets.size() == 2; }));
  // A registration that becomes odd names no target any more.
  fixture.store.Put("servers/first", registration(70'000));
  BOOST_TEST(
      fixture.Eventually([&fixture] { return fixture.targets.size() == 1; }));
  BOOST_TEST(fixture.targets.Replicas("s") == 1U);
}

// Guards against a host that considers its data current after the first page of
// changes, while the store has more.
BOOST_AUTO_TEST_CASE(DataIsNotCurrentWhileChangesArePending) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.Eventually(
      [&fixture] { return fixture.service.routes() != nullptr; }));
  fixture.clock.Advance(std::chrono::seconds(10));
  BOOST_REQUIRE(fixture.follower->outdated());
  BOOST_TEST(fixture.follower->domain_size() == 0U);
  for (int i = 0; i < 1'000; ++i) {
    fixture.store.Put("other/" + std::to_string(i), "1");
  }
  std::uint64_t behind = 0;
  BOOST_TEST(fixture.Eventually([&fixture, &behind] {
    if (fixture.follower->revision() < 1'000 &&
        fixture.follower->revision() > 2) {
      behind = fixture.follower->outdated() ? 1 : 2;
    }
    return !fixture.follower->outdated();
  }));
  BOOST_TEST(behind != 2U);
  BOOST_TEST(fixture.follower->revision() >= 1'000U);
}

// Guards against a change that is late because the mirror that is followed
// leaves and the next one is silent, so that one wait follows another.
BOOST_AUTO_TEST_CASE(SilentSuccessorOfALeavingMirrorDelaysNoChange) {
  FollowerFixture fixture(/*pause_clock=*/false);
  // Mirrors speak the calls of the store.
  util::StoreStandin silent(fixture.io);
  silent.Listen();
  silent.SetFault(util::StoreFault::kSilent);
  // Hosts without a mirror make the domain large enough for mirrors.
  for (const std::string_view name : {"a", "b", "c", "h1"}) {
    fixture.store.Put("hosts/" + std::string(name), HostValue("", 1));
  }
  fixture.store.Put("hosts/silent", HostValue(silent.address(), 2));
  StoreMirror leaving_data;
  MirrorServer leaving(fixture.context, fixture.store_codec, leaving_data);
  leaving.Listen("127.0.0.1:0");
  const std::string leaving_address =
      "127.0.0.1:" + std::to_string(leaving.port());
  leaving.SetDirect(true);
  const std::string leaving_key = "hosts/leaving";
  fixture.store.Put(leaving_key, HostValue(leaving_address, 4));
  leaving_data.Advance(1);
  const auto confirm = [&fixture, &leaving] {
    leaving.SetUpToDateAt(fixture.clock.Now());
    leaving.Sweep();
  };
  BOOST_REQUIRE(fixture.Eventually([&] {
    confirm();
    fixture.follower->Sweep();
    leaving_data.Advance(fixture.follower->revision());
    return leaving.pending_requests() == 1;
  }));
  confirm();
  fixture.follower->Sweep();  // the next choice is as late as possible
  fixture.store.Put("op/config", std::string(kNewerRoutes));
  const TimePoint acknowledged = fixture.clock.Now();
  const StoreTiming timing(fixture.change_limit, /*has_followers=*/true);
  while (fixture.clock.Now() < acknowledged + timing.watch_pause()) {
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::milliseconds(10));
  }
  leaving_data.Put({.key = leaving_key,
                    .revision = fixture.follower->revision() + 1,
                    .removed = true},
                   /*significant=*/true);
  leaving.SetDirect(false);
  BOOST_TEST(fixture.Eventually([&fixture] {
    fixture.follower->Sweep();
    return fixture.service.routes()->version() == 4;
  }));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - acknowledged) <
             ToMilliseconds(fixture.change_limit));
}

// Guards against a configuration, an evacuation, a target or a host that is
// lost because the store returned to an older copy, and against changes that
// are missed afterwards because their revisions were assigned before.
BOOST_AUTO_TEST_CASE(RestoredStoreRevertsNothingInForce) {
  FollowerFixture fixture;
  const auto registration = [](int port) {
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"d2","version":"v1","slots":2,"state":"ready",)"
           R"("warmup_left_ms":0,"seq_num":1})";
  };
  const auto evacuated = [&fixture] {
    return fixture.targets.Choose("s", {}, {}, {}) == nullptr;
  };
  fixture.store.Put("servers/kept", registration(81));
  fixture.store.SaveCopy();
  fixture.store.Put("servers/lost", registration(82));
  fixture.store.Put("op/config", std::string(kNewerRoutes));
  fixture.store.Put("op/evacuate/d2", "{}");
  fixture.store.Put("hosts/other", HostValue("", 1));
  BOOST_REQUIRE(fixture.Eventually([&fixture] {
    return fixture.service.routes() != nullptr &&
           fixture.service.routes()->version() == 4 &&
           fixture.hosts.RegisteredHosts().size() == 1 &&
           fixture.store.pending_watches() == 1;
  }));
  fixture.store.RestoreCopy();
  fixture.store.Put("hosts/next", HostValue("", 1));
  BOOST_TEST(fixture.Eventually(
      [&fixture] { return fixture.hosts.RegisteredHosts().size() == 2; }));
  BOOST_TEST(fixture.service.routes()->version() == 4U);
  BOOST_TEST(fixture.targets.size() == 2U);
  BOOST_TEST(evacuated());
  // After the grace period, what was not written again is removed.
  fixture.clock.Advance(std::chrono::seconds(10));
  BOOST_TEST(fixture.Eventually([&fixture] {
    fixture.follower->Sweep();
    fixture.targets.Sweep();
    return fixture.hosts.RegisteredHosts().size() == 1;
  }));
  BOOST_TEST(fixture.service.routes()->version() == 4U);
  BOOST_TEST(fixture.targets.size() == 1U);
  BOOST_TEST(!evacuated());
  fixture.store.WriteAgain();
  BOOST_TEST(fixture.Eventually(
      [&fixture] { return fixture.hosts.RegisteredHosts().size() == 2; }));
  BOOST_TEST(fixture.targets.size() == 2U);
  BOOST_TEST(evacuated());
}

// Guards against a host that stays with a mirror of an older epoch, or that
// takes over its data, after it has seen the newer one elsewhere.
BOOST_AUTO_TEST_CASE(MirrorOfAnOlderEpochIsLeft) {
  FollowerFixture fixture(/*pause_clock=*/false);
  StoreMirror data;
  MirrorServer followed(fixture.context, fixture.store_codec, data);
  followed.Listen("127.0.0.1:0");
  followed.SetDirect(true);
  std::vector<StoreItem> items = {
      {.key = "hosts/mirror",
       .value = HostValue("127.0.0.1:" + std::to_string(followed.port()), 4)}};
  for (const std::string_view name : {"a", "b", "c", "h1"}) {
    items.push_back(
        {.key = "hosts/" + std::string(name), .value = HostValue("", 1)});
  }
  for (StoreItem& item : items) {
    fixture.store.Put(item.key, item.value);
    item.revision = 1;
  }
  fixture.store.SaveCopy();
  data.Reset(items, {.revision = 1});
  BOOST_REQUIRE(fixture.Eventually([&] {
    followed.SetUpToDateAt(fixture.clock.Now());
    followed.Sweep();
    fixture.follower->Sweep();
    data.Advance(fixture.follower->revision());
    return followed.pending_requests() == 1;
  }));
  fixture.store.RestoreCopy();
  fixture.store.Put("hosts/next", HostValue("", 1));
  fixture.follower->ObserveEpoch(1);
  const TimePoint observed = fixture.clock.Now();
  BOOST_TEST(fixture.Eventually([&] {
    followed.SetUpToDateAt(fixture.clock.Now());
    followed.Sweep();
    fixture.follower->Sweep();
    return fixture.hosts.RegisteredHosts().size() == 6;
  }));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - observed) <
             ToMilliseconds(fixture.change_limit));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
