#include "auburnyard/report_order.h"

#include <map>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "src/relay/target_table.h"
#include "test/property.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWarmUp{3'000};

TargetEntry Report(std::int64_t started_at_ms,
                   std::uint64_t sequence,
                   std::uint64_t revision,
                   std::uint64_t epoch = 1) {
  return {.id = "t",
          .service = "s",
          .address = "127.0.0.1:9",
          .failure_domain = "d1",
          .started_at_ms = started_at_ms,
          .sequence = sequence,
          .store_epoch = epoch,
          .store_revision = revision};
}

class TableFixture {
 public:
  TableFixture() { this->clock.Pause(); }
  TargetPtr Chosen() { return this->table.Choose("s", {}, {}); }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  HostTable hosts;
  TargetTable table{this->context,
                    {"d1", "r1"},
                    {{"d1", "r1"}},
                    this->hosts,
                    {}};
};

// A target that writes reports to a store. Its clock may step at each start.
class ReportingTarget {
 public:
  void Restart(std::int64_t started_at_ms) {
    this->started = started_at_ms;
    this->sequence = 0;
    this->draining = false;
    this->Write();
  }
  void Drain() {
    this->draining = true;
    this->Write();
  }
  void Write() {
    TargetEntry report =
        Report(this->started, ++this->sequence, ++this->revision, this->epoch);
    report.draining = this->draining;
    report.slots = ++this->written;  // tells the reports apart
    this->reports.push_back(report);
  }
  // The store is restored from a copy in which `revision` was the last one.
  // Returns what the copy holds of the target.
  std::optional<TargetEntry> Restore(std::uint64_t copied) {
    std::optional<TargetEntry> held;
    for (const TargetEntry& report : this->reports) {
      if (report.store_epoch == this->epoch &&
          report.store_revision <= copied) {
        held = report;
      }
    }
    ++this->epoch;
    this->revision = copied;
    if (held) {
      held->store_epoch = this->epoch;
    }
    return held;
  }

  std::vector<TargetEntry> reports;
  std::uint64_t epoch = 1;
  std::uint64_t revision = 0;

 private:
  std::int64_t started = 0;
  std::uint64_t sequence = 0;
  bool draining = false;
  std::uint32_t written = 0;
};

// Whether the table holds the state of the report.
bool Holds(TableFixture& fixture, const TargetEntry& report) {
  const TargetPtr chosen = fixture.Chosen();
  if (report.draining) {
    return chosen == nullptr;
  }
  return chosen != nullptr && chosen->entry().slots == report.slots &&
         chosen->entry().started_at_ms == report.started_at_ms;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_order_test)

// Guards against requests to a draining target whose clock stepped back before
// its start, so that its reports look older than those of its last start
// (review/6).
BOOST_AUTO_TEST_CASE(DrainAfterAStepBackIsApplied) {
  TableFixture fixture;
  fixture.table.Upsert(Report(5'000, 7, 20));
  TargetEntry restarted = Report(4'600, 1, 21);
  BOOST_TEST(fixture.table.Upsert(restarted));
  BOOST_TEST((fixture.Chosen() != nullptr));
  restarted.sequence = 2;
  restarted.store_revision = 22;
  restarted.draining = true;
  BOOST_TEST(fixture.table.Upsert(restarted));
  BOOST_TEST((fixture.Chosen() == nullptr));
}

// Guards against full load on a target that started again with an earlier time
// and is cold (review/8), and against what was known of its last start.
BOOST_AUTO_TEST_CASE(RestartAfterAStepBackIsCold) {
  for (const std::int64_t start : {4'600, 5'000, 9'000}) {
    TableFixture fixture;
    fixture.table.Upsert(Report(5'000, 7, 20));
    fixture.Chosen()->OnLoad({.running = 2, .waiting = 9, .slots = 2},
                             fixture.clock.Now());
    TargetEntry restarted = Report(start, 1, 21);
    restarted.remaining_warm_up = kWarmUp;
    fixture.table.Upsert(restarted);
    BOOST_TEST(fixture.Chosen()->Cold(fixture.clock.Now()), start);
    BOOST_TEST(fixture.Chosen()->Load(fixture.clock.Now()).rounds == 0, start);
  }
}

// Guards against a start that inherits the announcement of another one with the
// same time.
BOOST_AUTO_TEST_CASE(SameTimeOfTwoStartsIsNoAnnouncement) {
  TableFixture fixture;
  fixture.table.Upsert(Report(5'000, 7, 20));
  fixture.table.OnLeaving(Report(5'000, 7, 20).Incarnation(), "request");
  BOOST_TEST((fixture.Chosen() == nullptr));
  fixture.table.Upsert(Report(5'000, 8, 21));
  BOOST_TEST((fixture.Chosen() == nullptr));
  fixture.table.Upsert(Report(5'000, 8, 22));  // written again as it was
  BOOST_TEST((fixture.Chosen() == nullptr));
  TargetEntry other = Report(5'000, 8, 23);
  other.slots = 3;
  fixture.table.Upsert(other);
  BOOST_TEST((fixture.Chosen() != nullptr));
  fixture.table.OnLeaving(other.Incarnation(), "request");
  fixture.table.Upsert(Report(5'000, 1, 24));
  BOOST_TEST((fixture.Chosen() != nullptr));
}

// Guards against an address that keeps the state of the service that used it.
BOOST_AUTO_TEST_CASE(OtherServiceAtTheSameAddressIsARestart) {
  const TargetEntry known = Report(5'000, 1, 20);
  TargetEntry reported = Report(5'000, 2, 21);
  reported.service = "other";
  BOOST_TEST((ReportOrder().Classify(known, reported) == ReportKind::kRestart));
  reported = Report(5'000, 2, 21);
  reported.address = "127.0.0.1:10";
  BOOST_TEST((ReportOrder().Classify(known, reported) == ReportKind::kRestart));
}

// Guards against replaced starts that are remembered for ever.
BOOST_AUTO_TEST_CASE(ReplacedStartsAreForgotten) {
  ReportOrder order;
  const TimePoint now{std::chrono::hours(1)};
  order.OnRestart(Report(1, 1, 1).Incarnation(), Report(2, 1, 2).Incarnation(),
                  now);
  BOOST_TEST(order.replaced() == 1U);
  order.Expire(now + std::chrono::minutes(9));
  BOOST_TEST(order.replaced() == 1U);
  order.Expire(now + std::chrono::minutes(11));
  BOOST_TEST(order.replaced() == 0U);
}

// Guards against a state other than that of the newest report that arrived, in
// any order, with any steps of the target's clock and with gaps.
BOOST_AUTO_TEST_CASE(NewestReportHoldsInAnyOrder) {
  const std::string failure = test::CounterExample(20261208, [] {
    ReportingTarget target;
    target.Restart(5'000);
    const int writes = *rc::gen::inRange(1, 12);
    for (int i = 0; i < writes; ++i) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          // Few times, so that some starts have the same one.
          target.Restart(5'000 + *rc::gen::inRange(-2, 3) * 1'000);
          break;
        case 1:
          target.Drain();
          break;
        default:
          target.Write();
      }
    }
    TableFixture fixture;
    std::optional<TargetEntry> newest;
    const int deliveries = *rc::gen::inRange(1, 20);
    for (int i = 0; i < deliveries; ++i) {
      const TargetEntry report = *rc::gen::elementOf(target.reports);
      fixture.table.Upsert(report);
      if (!newest || report.store_revision >= newest->store_revision) {
        newest = report;
      }
      RC_ASSERT(Holds(fixture, *newest));
    }
  });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against an older copy of the store that brings back a start which was
// replaced, or an older report of the present one.
BOOST_AUTO_TEST_CASE(OlderCopyOfTheStoreBringsNothingBack) {
  const std::string failure = test::CounterExample(20261208, [] {
    ReportingTarget target;
    TableFixture fixture;
    target.Restart(5'000);
    const int writes = *rc::gen::inRange(1, 12);
    for (int i = 0; i < writes; ++i) {
      // Each start has a time of its own, in any order.
      if (*rc::gen::inRange(0, 3) == 0) {
        target.Restart(5'000 + (i % 2 == 0 ? -100 : 100) * (i + 1));
      } else {
        target.Write();
      }
    }
    for (const TargetEntry& report : target.reports) {
      fixture.table.Upsert(report);
    }
    const TargetEntry newest = target.reports.back();
    const auto copied =
        *rc::gen::inRange<std::uint64_t>(0, target.revision + 1);
    if (const auto held = target.Restore(copied)) {
      fixture.table.Upsert(*held);
    }
    RC_ASSERT(Holds(fixture, newest));
    target.Drain();
    fixture.table.Upsert(target.reports.back());
    RC_ASSERT(Holds(fixture, target.reports.back()));
    target.Restart(4'000);
    fixture.table.Upsert(target.reports.back());
    RC_ASSERT(Holds(fixture, target.reports.back()));
  });
  BOOST_TEST(failure.empty(), failure);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
