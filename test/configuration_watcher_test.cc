#include "src/daemon/configuration_watcher.h"

#include <list>

#include <boost/test/unit_test.hpp>

#include "test/configuration_fixture.h"
#include "test/virtual_time.h"

namespace auburnyard {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kExchange{1};
const std::string kConfig(kConfigurationKey);

// Simulates the platform's service for the watcher: positions, pending watches
// and outages.
class FakeService {
 public:
  explicit FakeService(test::VirtualTime& virtual_time) : time(virtual_time) {}

  void Put(const std::string& key, const std::string& value) {
    this->values[key] = {
        .key = key, .value = value, .version = ++this->position};
    this->Notify();
  }
  void RestoreEmpty() {
    this->values.clear();
    this->position = 0;
    this->Notify();
  }
  void Watch(std::string_view prefix,
             std::uint64_t after,
             milliseconds wait,
             std::function<void(WatchResult)> done) {
    ++this->calls;
    if (this->down) {
      this->time.Schedule(kExchange, [done] { done({.error = "down"}); });
      return;
    }
    const auto watch = this->waiting.insert(
        this->waiting.end(), {std::string(prefix), after, done, ++this->ids});
    if (after == 0 || this->Due(*watch)) {
      this->Answer(watch);
    } else {
      this->time.Schedule(wait + kExchange,
                          [this, id = watch->id] { this->Expire(id); });
    }
  }

  bool down = false;
  std::size_t calls = 0;

 private:
  struct Waiting {
    std::string prefix;
    std::uint64_t after;
    std::function<void(WatchResult)> done;
    std::size_t id;
  };
  using Iterator = std::list<Waiting>::iterator;

  WatchResult ResultFor(const Waiting& watch) const {
    WatchResult result{.status = PlatformStatus::kOk,
                       .position = this->position};
    for (const auto& [key, entry] : this->values) {
      if (key.starts_with(watch.prefix) && entry.version > watch.after) {
        result.entries.push_back(entry);
      }
    }
    return result;
  }
  bool Due(const Waiting& watch) const {
    return watch.after > this->position ||
           !this->ResultFor(watch).entries.empty();
  }
  Iterator Answer(Iterator watch) {
    this->time.Schedule(kExchange,
                        [done = watch->done, result = this->ResultFor(*watch)] {
                          done(result);
                        });
    return this->waiting.erase(watch);
  }
  void Expire(std::size_t id) {
    for (auto watch = this->waiting.begin(); watch != this->waiting.end();) {
      watch = watch->id == id ? this->Answer(watch) : std::next(watch);
    }
  }
  void Notify() {
    for (auto watch = this->waiting.begin(); watch != this->waiting.end();) {
      watch = this->Due(*watch) ? this->Answer(watch) : std::next(watch);
    }
  }

  test::VirtualTime& time;
  std::map<std::string, PlatformEntry> values;
  std::list<Waiting> waiting;
  std::uint64_t position = 0;
  std::size_t ids = 0;
};

struct Host {
  explicit Host(std::size_t host_rank = 0, std::size_t fleet = 9)
      : rank(host_rank) {
    WatcherHooks hooks;
    hooks.watch = [this](std::string_view prefix, std::uint64_t after,
                         milliseconds wait,
                         std::function<void(WatchResult)> done) {
      this->service.Watch(prefix, after, wait, std::move(done));
    };
    hooks.schedule = [this](milliseconds delay, std::function<void()> run) {
      this->time.Schedule(delay, std::move(run));
    };
    hooks.rank = [this] { return this->rank; };
    hooks.fleet_size = [fleet] { return fleet; };
    hooks.push = [this](const DocumentMessage& message) {
      this->pushed.push_back(message);
    };
    this->watcher = std::make_shared<ConfigurationWatcher>(
        this->store, this->configuration_age, this->time.clock,
        std::move(hooks), 7);
    this->service.Put(kConfig, test::SmallDocument(5));
  }
  std::uint64_t revision() const {
    return this->store.RevisionOf(kConfigurationKey);
  }
  bool stale() const {
    return this->configuration_age.Stale(this->time.clock.Now());
  }
  double CallsPerSecond(seconds duration) {
    this->service.calls = 0;
    this->time.Run(duration);
    return static_cast<double>(this->service.calls) /
           static_cast<double>(duration.count());
  }
  std::string Fault() const {
    const auto faults = this->watcher->Faults();
    return faults.empty() ? "" : std::string(ToString(faults.front().kind));
  }

  test::VirtualTime time;
  FakeService service{time};
  ConfigurationStore store;
  ConfigurationAge configuration_age;
  std::size_t rank;
  std::vector<DocumentMessage> pushed;
  std::shared_ptr<ConfigurationWatcher> watcher;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_watcher_test)

// Guards against a watcher that misses a change, does not forward it, or is
// stale while the service answers.
BOOST_AUTO_TEST_CASE(WatcherTakesAndPushesChanges) {
  Host host;
  host.watcher->Start();
  host.time.Run(seconds(2));
  BOOST_TEST(host.revision() == 5U);
  BOOST_TEST(!host.stale());
  host.service.Put(kConfig, test::SmallDocument(6));
  host.time.Run(milliseconds(10));
  BOOST_TEST(host.revision() == 6U);
  BOOST_TEST(host.pushed.size() == 2U);
  for (int i = 0; i < 100; ++i) {
    host.time.Run(milliseconds(100));
    BOOST_TEST(
        (*host.configuration_age.Age(host.time.clock.Now()) < seconds(2)));
  }
}

// Guards against an outage that leaves the host without configuration, or after
// which its configuration does not become stale.
BOOST_AUTO_TEST_CASE(OutageKeepsTheConfigurationAndMakesStale) {
  Host host;
  host.watcher->Start();
  host.time.Run(seconds(2));
  host.service.down = true;
  host.time.Run(seconds(60));
  BOOST_TEST(host.revision() == 5U);
  BOOST_TEST(host.stale());
  host.service.down = false;
  host.service.Put(kConfig, test::SmallDocument(6));
  host.time.Run(seconds(6));
  BOOST_TEST(host.revision() == 6U);
  BOOST_TEST(!host.stale());
}

// Guards against a store that was reverted to an older revision: its contents
// must not come into force or count as confirmation, and the fault must be
// reported to operators.
BOOST_AUTO_TEST_CASE(OlderContentsAreRefusedAndReported) {
  Host host;
  host.watcher->Start();
  host.time.Run(seconds(2));
  host.service.Put(kConfig, test::SmallDocument(4));
  host.time.Run(seconds(5));
  BOOST_TEST(host.revision() == 5U);
  BOOST_TEST(host.Fault() == "older");
  BOOST_TEST(host.stale());
  host.service.Put(kConfig, test::SmallDocument(6));
  host.time.Run(seconds(1));
  BOOST_TEST(host.revision() == 6U);
  BOOST_TEST(host.Fault() == "");
  BOOST_TEST(!host.stale());
}

// Guards against faults of the store's contents that stop the host or count as
// confirmation.
BOOST_AUTO_TEST_CASE(BadContentsAreReported) {
  struct Case {
    std::string document;
    std::string fault;
  };
  for (const Case& row : {Case{"{\"revision\": 6", "malformed"},
                          Case{test::SmallDocument(5, "other"), "conflict"}}) {
    Host host;
    host.watcher->Start();
    host.time.Run(seconds(2));
    host.service.Put(kConfig, row.document);
    host.time.Run(seconds(5));
    BOOST_TEST(host.revision() == 5U);
    BOOST_TEST(host.Fault() == row.fault);
    BOOST_TEST(host.stale());
  }
}

// Guards against a store that was restored during an outage and has passed the
// old position with other contents, which a resumed watch never shows.
BOOST_AUTO_TEST_CASE(RestoredStoreIsReadAgain) {
  Host host;
  host.watcher->Start();
  host.time.Run(seconds(2));
  host.service.down = true;
  host.time.Run(seconds(10));
  host.service.RestoreEmpty();
  host.service.Put(kConfig, test::SmallDocument(6));
  for (int i = 0; i < 10; ++i) {
    host.service.Put("auburnyard/claims/" + std::to_string(i), "x");
  }
  host.service.down = false;
  host.time.Run(seconds(6));
  BOOST_TEST(host.revision() == 6U);

  Host wiped;
  wiped.watcher->Start();
  wiped.time.Run(seconds(2));
  wiped.service.RestoreEmpty();
  wiped.time.Run(seconds(10));
  BOOST_TEST(wiped.revision() == 5U);
  BOOST_TEST(wiped.Fault() == "missing");
  BOOST_TEST(wiped.stale());
}

// Guards against a fault reported for contents that were superseded by a peer's
// document while the answer of the service was in transit.
BOOST_AUTO_TEST_CASE(NewerDocumentOfAPeerIsNoFault) {
  Host host;
  host.watcher->Start();
  host.time.Run(seconds(2));
  host.service.Put(kConfig, test::SmallDocument(6));
  host.watcher->OnPeerDocument({kConfig, test::SmallDocument(7)});
  host.time.Run(milliseconds(10));
  BOOST_TEST(host.revision() == 7U);
  BOOST_TEST(host.Fault() == "");
}

// Guards against a fleet in which every host calls the service all the time.
BOOST_AUTO_TEST_CASE(OnlyLowRanksWatch) {
  Host host(2);
  host.watcher->Start();
  host.time.Run(seconds(5));
  BOOST_TEST(host.revision() == 5U);
  BOOST_TEST(host.service.calls == 2U);
  BOOST_TEST(host.CallsPerSecond(seconds(60)) == 0.0);
  host.rank = 1;
  BOOST_TEST(host.CallsPerSecond(seconds(60)) > 0.0);

  Host updated_by_peer(2, 1200);
  updated_by_peer.watcher->Start();
  updated_by_peer.watcher->OnPeerDocument({kConfig, test::SmallDocument(9)});
  updated_by_peer.time.Run(seconds(60));
  BOOST_TEST(updated_by_peer.service.calls == 0U);
}

// Guards against more calls than the service can handle: in steady state,
// during an outage, and when a fleet without a configuration starts during an
// outage.
BOOST_AUTO_TEST_CASE(CallsPerSecondAreBounded) {
  Host watching;
  watching.watcher->Start();
  watching.time.Run(seconds(5));
  const double steady = watching.CallsPerSecond(seconds(100));
  watching.service.down = true;
  const double outage = watching.CallsPerSecond(seconds(100));
  double other_outage[2];
  const std::size_t fleets[] = {9, 1200};
  for (std::size_t i = 0; i < 2; ++i) {
    Host other(2, fleets[i]);
    other.service.down = true;
    other.watcher->Start();
    other.time.Run(seconds(100));
    other_outage[i] = other.CallsPerSecond(seconds(1000));
  }
  BOOST_TEST_MESSAGE("calls/s of a watcher: "
                     << steady << ", in an outage " << outage
                     << "; of another host without configuration in "
                        "an outage: "
                     << other_outage[0] << " (9 hosts), " << other_outage[1]
                     << " (1,200 hosts)");
  BOOST_TEST(steady <= 2.2);
  BOOST_TEST(outage <= 0.8);
  BOOST_TEST(3 * 2 * outage + 3 * other_outage[0] <= 20.0);
  BOOST_TEST(20 * 2 * outage + 1160 * other_outage[1] <= 300.0);
}

// Guards against bad documents of peers that stop the host or are not counted.
BOOST_AUTO_TEST_CASE(BadPeerDocumentsChangeNothing) {
  Host host;
  host.watcher->OnPeerDocument({kConfig, test::SmallDocument(5)});
  host.watcher->OnPeerDocument({kConfig, test::SmallDocument(4)});
  host.watcher->OnPeerDocument({kConfig, "not JSON"});
  host.watcher->OnPeerDocument({"auburnyard/claims/1", "{}"});
  host.watcher->OnPeerDocument({kConfig, test::SmallDocument(5, "other")});
  BOOST_TEST(host.revision() == 5U);
  BOOST_TEST(host.watcher->malformed_from_peers() == 2U);
  BOOST_TEST(host.Fault() == "conflict");
  BOOST_TEST(host.pushed.size() == 1U);
  BOOST_TEST(host.watcher->DocumentsFor({}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
