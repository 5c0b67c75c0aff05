#include "src/relay/target_table.h"

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "test/property.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

class TableFixture {
 public:
  TableFixture() { this->clock.Pause(); }

  static TargetEntry Entry(std::string id, std::string domain) {
    return {.id = std::move(id),
            .service = "s",
            .address = "127.0.0.1:9",
            .failure_domain = std::move(domain),
            .slots = 2};
  }
  std::string Chosen(std::vector<std::string> regions = {},
                     std::vector<TargetPtr> tried = {}) {
    const TargetPtr target = this->table.Choose("s", regions, tried);
    return target == nullptr ? "" : target->entry().id;
  }
  void AdvanceTime(milliseconds time) {
    this->clock.Advance(time);
    this->table.Sweep();
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  HostTable hosts;
  TargetTable table{this->context,
                    {"d1", "r1"},
                    {{"d1", "r1"}, {"d2", "r2"}},
                    this->hosts,
                    {}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(target_table_test)

// Guards against new requests to draining targets and to domains that operators
// have evacuated.
BOOST_AUTO_TEST_CASE(DrainingTargetsAndEvacuatedDomainsGetNothing) {
  TableFixture fixture;
  fixture.table.Upsert(TableFixture::Entry("near", "d1"));
  fixture.table.Upsert(TableFixture::Entry("far", "d2"));
  BOOST_TEST(fixture.Chosen() == "near");
  TargetEntry draining = TableFixture::Entry("near", "d1");
  draining.draining = true;
  draining.sequence = 1;
  fixture.table.Upsert(draining);
  BOOST_TEST(fixture.Chosen() == "far");
  fixture.table.SetEvacuated("d2", true);
  BOOST_TEST(fixture.Chosen().empty());
  fixture.table.SetEvacuated("d2", false);
  BOOST_TEST(fixture.Chosen() == "far");
}

// Guards against requests to regions that their route does not allow.
BOOST_AUTO_TEST_CASE(AllowedRegionsBind) {
  TableFixture fixture;
  fixture.table.Upsert(TableFixture::Entry("near", "d1"));
  BOOST_TEST(fixture.Chosen({"r2"}).empty());
  fixture.table.Upsert(TableFixture::Entry("far", "d2"));
  BOOST_TEST(fixture.Chosen({"r2"}) == "far");
}

// Guards against requests to a version that no order names or that was rolled
// back, and to the old version once the new one is complete.
BOOST_AUTO_TEST_CASE(VersionsFollowTheRollout) {
  TableFixture fixture;
  RolloutTable rollouts("h1", fixture.hosts);
  rollouts.SetHooks({.on_change = [&fixture](std::string_view service) {
    fixture.table.UpdateVersions(service);
  }});
  rollouts.SetLimits({.exposure_share = 0.1, .exposure_margin = 50});
  fixture.table.SetRollouts(rollouts, [] { return true; });
  TargetEntry old_target = TableFixture::Entry("old", "d2");
  old_target.version = "v1";
  old_target.started_at_ms = 1'000;
  TargetEntry new_target = TableFixture::Entry("new", "d1");
  new_target.version = "v2";
  new_target.started_at_ms = 90'000;
  fixture.table.Upsert(old_target);
  fixture.table.Upsert(new_target);
  BOOST_TEST(fixture.Chosen() == "old");
  rollouts.OnOrder({"s", "v2", milliseconds(10'000), 5}, fixture.clock.Now());
  fixture.AdvanceTime(milliseconds(2'000));
  BOOST_TEST(fixture.Chosen() == "new");
  BOOST_TEST(fixture.table.Costs("s", {}).count("d1") == 0U);
  for (int i = 0; i < 30; ++i) {
    fixture.Chosen();
  }
  BOOST_TEST(fixture.Chosen() == "old");  // the margin is used up
  rollouts.OnStage({"s", 5, RolloutStage::kFull, 7}, fixture.clock.Now());
  BOOST_TEST(fixture.Chosen() == "new");
  const auto target = [&fixture] { return fixture.table.Choose("s", {}, {}); };
  const std::vector<TargetPtr> tried{target()};
  BOOST_TEST((fixture.table.Choose("s", {}, tried) == nullptr));
  rollouts.OnStatus({"s", RolloutState::kRolledBack, "v2", 8},
                    fixture.clock.Now());
  BOOST_TEST(fixture.Chosen() == "old");
  rollouts.OnOrder({"s", "v2", milliseconds(10'000), 9}, fixture.clock.Now());
  rollouts.OnStatus({"s", RolloutState::kComplete, "v2", 10},
                    fixture.clock.Now());
  BOOST_TEST(fixture.Chosen() == "new");
}

// Guards against a change of the choice where rollouts are not enabled.
BOOST_AUTO_TEST_CASE(WithoutRolloutsAllVersionsAreUsedAlike) {
  TableFixture fixture;
  RolloutTable rollouts("h1", fixture.hosts);
  fixture.table.SetRollouts(rollouts, [] { return true; });
  TargetEntry old_target = TableFixture::Entry("old", "d2");
  old_target.started_at_ms = 1'000;
  TargetEntry new_target = TableFixture::Entry("new", "d1");
  new_target.version = "v2";
  new_target.started_at_ms = 90'000;
  fixture.table.Upsert(old_target);
  fixture.table.Upsert(new_target);
  rollouts.OnOrder({"s", "v3", milliseconds(10'000), 5}, fixture.clock.Now());
  BOOST_TEST(fixture.Chosen() == "new");
}

// Guards against using a target after its registration is gone.
BOOST_AUTO_TEST_CASE(RemovedTargetIsNotChosen) {
  TableFixture fixture;
  fixture.table.Upsert(TableFixture::Entry("near", "d1"));
  fixture.table.Remove("near");
  BOOST_TEST(fixture.Chosen().empty());
}

// Guards against dropping all targets whose registrations lapsed during an
// outage of the store, and against keeping one that does not return.
BOOST_AUTO_TEST_CASE(LapsedRegistrationsMayReturn) {
  TableFixture fixture;
  fixture.table.Upsert(TableFixture::Entry("near", "d1"));
  fixture.table.Upsert(TableFixture::Entry("far", "d2"));
  fixture.table.DeferRemovals();
  fixture.table.Remove("near");
  fixture.table.Remove("far");
  BOOST_TEST(fixture.Chosen() == "near");
  fixture.AdvanceTime(milliseconds(1'000));
  fixture.table.Upsert(TableFixture::Entry("far", "d2"));
  fixture.AdvanceTime(milliseconds(1'600));
  BOOST_TEST(fixture.Chosen() == "far");
}

// Guards against an old report that re-enables a draining target.
BOOST_AUTO_TEST_CASE(OlderReportIsIgnored) {
  TableFixture fixture;
  TargetEntry leaving = TableFixture::Entry("near", "d1");
  leaving.sequence = 5;
  leaving.store_revision = 20;
  leaving.draining = true;
  fixture.table.Upsert(leaving);
  TargetEntry old = TableFixture::Entry("near", "d1");
  old.sequence = 4;
  old.store_revision = 19;
  fixture.table.Upsert(old);
  BOOST_TEST(fixture.Chosen().empty());
  // A restarted target counts its reports from the beginning.
  TargetEntry restarted = TableFixture::Entry("near", "d1");
  restarted.started_at_ms = 10;
  restarted.store_revision = 21;
  fixture.table.Upsert(restarted);
  BOOST_TEST(fixture.Chosen() == "near");
}

// Guards against forwarding insignificant reports to all hosts, and against
// significant changes being taken for such a report.
BOOST_AUTO_TEST_CASE(InsignificantReportsAreRecognized) {
  TableFixture fixture;
  TargetEntry entry = TableFixture::Entry("near", "d1");
  entry.remaining_warm_up = milliseconds(3'000);
  BOOST_TEST(fixture.table.Upsert(entry));
  fixture.AdvanceTime(milliseconds(1'200));
  ++entry.sequence;
  entry.remaining_warm_up = milliseconds(1'800);
  BOOST_TEST(!fixture.table.Upsert(entry));
  ++entry.sequence;
  entry.remaining_warm_up = milliseconds(3'000);
  BOOST_TEST(fixture.table.Upsert(entry));  // cold again
  fixture.AdvanceTime(milliseconds(3'000));
  ++entry.sequence;
  entry.remaining_warm_up = milliseconds(0);
  BOOST_TEST(!fixture.table.Upsert(entry));
  ++entry.sequence;
  entry.draining = true;
  BOOST_TEST(fixture.table.Upsert(entry));
  entry.started_at_ms = 5;
  BOOST_TEST(fixture.table.Upsert(entry));
}

// Guards against a target that stays excluded because its registration was
// removed and written again while removals were deferred.
BOOST_AUTO_TEST_CASE(RegistrationAfterARemovalIsApplied) {
  TableFixture fixture;
  TargetEntry leaving = TableFixture::Entry("near", "d1");
  leaving.sequence = 5;
  leaving.draining = true;
  fixture.table.Upsert(leaving);
  fixture.table.DeferRemovals();
  fixture.table.Remove("near");
  fixture.table.Upsert(TableFixture::Entry("near", "d1"));
  BOOST_TEST(fixture.Chosen() == "near");
}

// Guards against all hosts together sending more requests to a cold target than
// it can handle.
BOOST_AUTO_TEST_CASE(ColdTargetsGetNoMoreThanTheirRate) {
  constexpr int kHosts = 9;
  constexpr double kAllowed = 2 * 1.5 + 5;
  int sent = 0;
  for (int i = 0; i < kHosts; ++i) {
    TableFixture fixture;
    for (int j = 0; j < kHosts; ++j) {
      fixture.hosts.Upsert({.name = "h" + std::to_string(j),
                            .address = "",
                            .failure_domain = "d1"});
    }
    TargetTable table(fixture.context, {"d1", "r1"}, {{"d1", "r1"}},
                      fixture.hosts,
                      {.host_name = "h" + std::to_string(i),
                       .rate_factor = 1.5,
                       .rate_margin = 5});
    table.SetRoutes(std::make_shared<RouteTable>(
        1, std::vector<Route>(),
        std::map<std::string, ServiceLimits, std::less<>>{
            {"s", {.max_connections = 1, .warm_up_requests_per_second = 2}}},
        CallerLimits()));
    TargetEntry cold = TableFixture::Entry("near", "d1");
    cold.remaining_warm_up = milliseconds(3'000);
    table.Upsert(cold);
    for (int request = 0; request < 50; ++request) {
      sent += table.Choose("s", {}, {}) == nullptr ? 0 : 1;
    }
  }
  BOOST_TEST(sent >= 1);
  BOOST_TEST(sent <= kAllowed);
}

// Guards against a target that is still limited after its warm-up.
BOOST_AUTO_TEST_CASE(WarmTargetIsNotLimited) {
  TableFixture fixture;
  TargetEntry cold = TableFixture::Entry("near", "d1");
  cold.remaining_warm_up = milliseconds(100);
  fixture.table.Upsert(cold);
  fixture.AdvanceTime(milliseconds(101));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(fixture.Chosen() == "near");
  }
}

// Guards against a choice of a target that announced that it leaves, and
// against the loss of one that did not, in any order of announcements, reports,
// lapses, resyncs and restarts.
BOOST_AUTO_TEST_CASE(AnnouncementsHoldInAnyOrderOfEvents) {
  const auto property = [] {
    TableFixture fixture;
    std::map<std::string, TargetEntry> registered;
    std::map<std::string, std::int64_t> newest_start;
    std::uint64_t sequence = 0;
    std::set<TargetIncarnation> announced;
    const auto register_again = [&](const std::string& id, bool restart) {
      TargetEntry entry = TableFixture::Entry(id, "d1");
      std::int64_t& start = newest_start[id];
      start += restart || start == 0 ? 1'000 : 0;
      entry.started_at_ms = start;
      entry.sequence = ++sequence;
      registered[id] = entry;
      fixture.table.Upsert(entry);
    };
    const int steps = *rc::gen::inRange(5, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string id = *rc::gen::element<std::string>("a", "b", "c");
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          register_again(id, /*restart=*/false);
          break;
        case 1:
          register_again(id, /*restart=*/true);
          break;
        case 2:
          registered.erase(id);
          fixture.table.Remove(id);
          break;
        case 3: {
          std::vector<TargetEntry> entries;
          for (auto& [name, entry] : registered) {
            entry.sequence = ++sequence;
            entries.push_back(entry);
          }
          fixture.table.Reset(entries);
          break;
        }
        case 4: {
          // Possibly an answer of an earlier incarnation.
          TargetIncarnation incarnation =
              TableFixture::Entry(id, "d1").Incarnation();
          incarnation.started_at_ms = std::max<std::int64_t>(
              1'000, newest_start[id] - *rc::gen::inRange(0, 2) * 1'000);
          announced.insert(incarnation);
          fixture.table.OnLeaving(incarnation, "request");
          break;
        }
        case 5:
          fixture.table.OnLeavingReport(std::vector<TargetIncarnation>{
              {.id = id, .started_at_ms = newest_start[id]}});
          if (registered.contains(id)) {
            announced.insert(registered.at(id).Incarnation());
          }
          break;
        default:
          fixture.AdvanceTime(milliseconds(*rc::gen::inRange(1, 4'000)));
      }
      std::set<std::string> expected;
      for (const auto& [name, entry] : registered) {
        if (!announced.contains(entry.Incarnation())) {
          expected.insert(name);
        }
      }
      const std::string chosen = fixture.Chosen();
      RC_ASSERT(chosen.empty() == expected.empty());
      RC_ASSERT(chosen.empty() || expected.contains(chosen));
    }
  };
  BOOST_TEST(test::CounterExample(20261207, property) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
