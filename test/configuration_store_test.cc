#include "auburnyard/configuration_store.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "test/configuration_fixture.h"
#include "test/property.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kHosts = 3;

struct Held {
  std::uint64_t revision = 0;
  std::string nonce;
  bool operator==(const Held&) const = default;
};

// The store under test, reduced to the configuration document.
class RealHost {
 public:
  void Offer(const Held& document) {
    this->store.Offer(kConfigurationKey,
                      test::SmallDocument(document.revision, document.nonce));
  }
  Held held() const {
    const auto configuration = this->store.configuration();
    return configuration ? Held{configuration->revision, configuration->nonce}
                         : Held{};
  }

 private:
  ConfigurationStore store;
};

// Broken: the last document wins.
class LastWriterHost {
 public:
  void Offer(const Held& document) { this->in_force = document; }
  Held held() const { return this->in_force; }

 private:
  Held in_force;
};

// Broken: takes other contents in the same revision.
class EqualRevisionHost {
 public:
  void Offer(const Held& document) {
    if (document.revision >= this->in_force.revision) {
      this->in_force = document;
    }
  }
  Held held() const { return this->in_force; }

 private:
  Held in_force;
};

// One step of a history: what happens, at which host, to which item.
using Step = std::tuple<int, std::size_t, std::size_t>;
constexpr int kStepKinds = 5;

// Contents of the platform's store over time, with rollbacks, and documents on
// their way to hosts.
class History {
 public:
  void Write() {
    this->store = {this->store.revision + 1,
                   "nonce-" + std::to_string(++this->writes)};
    this->past.push_back(this->store);
  }
  void RollBack(std::size_t to) {
    this->store = this->past[to % this->past.size()];
  }
  void Send(std::size_t host, const Held& document) {
    this->on_their_way.emplace_back(host, document);
  }
  // Takes any document on its way, so documents arrive late and out of order;
  // `keep` lets it arrive once more.
  std::pair<std::size_t, Held> Receive(std::size_t item, bool keep) {
    const auto position =
        this->on_their_way.begin() +
        static_cast<std::ptrdiff_t>(item % this->on_their_way.size());
    const std::pair<std::size_t, Held> received = *position;
    if (!keep) {
      this->on_their_way.erase(position);
    }
    return received;
  }
  bool Empty() const { return this->on_their_way.empty(); }
  const Held& contents() const { return this->store; }

 private:
  Held store{1, "nonce-0"};
  std::vector<Held> past{store};
  std::vector<std::pair<std::size_t, Held>> on_their_way;
  int writes = 0;
};

template <typename Host>
void OfferAndCheck(Host& host, const Held& document) {
  const Held before = host.held();
  host.Offer(document);
  const Held after = host.held();
  RC_ASSERT(after.revision >= before.revision);
  RC_ASSERT(after == before || after.revision > before.revision);
}

template <typename Host>
void NeverFalls() {
  const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
      rc::gen::inRange(0, kStepKinds), rc::gen::inRange<std::size_t>(0, kHosts),
      rc::gen::inRange<std::size_t>(0, 20)));
  std::array<Host, kHosts> hosts;
  History history;
  for (const auto& [kind, host, item] : steps) {
    if (kind == 0) {
      history.Write();
    } else if (kind == 1 && item < 5) {
      history.RollBack(item);
    } else if (kind == 2) {
      history.Send(host, history.contents());
    } else if (!history.Empty()) {
      const auto [to, document] = history.Receive(item, kind == 3);
      OfferAndCheck(hosts.at(to), document);
      history.Send(host, hosts.at(to).held());  // gossip
    }
  }
}

std::string CatalogDocument(std::uint64_t revision) {
  return SerializeShardMap({.service = "seats",
                            .revision = revision,
                            .snapshot = "s1",
                            .shards = {{"a", {0, 10}, {"north1"}}}});
}

constexpr std::string_view kCatalogKey = "auburnyard/catalog/seats";

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_store_test)

// Guards against a revision in force that falls, or changes its contents, when
// documents are late, duplicated, reordered or come from a store that has gone
// back (P10).
BOOST_AUTO_TEST_CASE(RevisionNeverFalls) {
  BOOST_TEST(test::CounterExample(kSeed, NeverFalls<RealHost>) == "");
}

// Guards against a property that holds for any store.
BOOST_AUTO_TEST_CASE(RevisionPropertyDetectsBrokenStores) {
  BOOST_TEST(test::CounterExample(kSeed, NeverFalls<LastWriterHost>) != "");
  BOOST_TEST(test::CounterExample(kSeed, NeverFalls<EqualRevisionHost>) != "");
}

// Guards against refusals that nobody can see.
BOOST_AUTO_TEST_CASE(OutcomesAreReportedAndCounted) {
  ConfigurationStore store;
  const auto offer = [&store](std::uint64_t revision, const char* nonce) {
    return store.Offer(kConfigurationKey, test::SmallDocument(revision, nonce));
  };
  BOOST_TEST((offer(5, "a") == DocumentOutcome::kTaken));
  BOOST_TEST((offer(5, "a") == DocumentOutcome::kUnchanged));
  BOOST_TEST((offer(5, "b") == DocumentOutcome::kConflict));
  BOOST_TEST((offer(4, "a") == DocumentOutcome::kOlder));
  BOOST_CHECK_THROW(store.Offer(kConfigurationKey, "{"), Error);
  BOOST_CHECK_THROW(store.Offer("auburnyard/other", "{}"), Error);
  BOOST_CHECK_THROW(store.Offer("auburnyard/catalog/other", CatalogDocument(1)),
                    Error);
  const ConfigurationCounters counters = store.counters();
  BOOST_TEST(counters.taken == 1U);
  BOOST_TEST(counters.unchanged == 1U);
  BOOST_TEST(counters.conflict == 1U);
  BOOST_TEST(counters.older == 1U);
  BOOST_TEST(counters.malformed == 3U);
  BOOST_TEST(store.configuration()->nonce == "a");
}

// Guards against a false conflict between a document with and one without
// members that have their default.
BOOST_AUTO_TEST_CASE(EqualMeaningIsNoConflict) {
  ConfigurationStore store;
  store.Offer(kConfigurationKey, R"({"revision": 1, "services": {"s": {}},
      "domains": {}, "targets": {}})");
  BOOST_TEST((store.Offer(kConfigurationKey,
                          SerializeConfiguration(*store.configuration())) ==
              DocumentOutcome::kUnchanged));
}

// Guards against a default that is left out when a document is written and read
// back as another value.
BOOST_AUTO_TEST_CASE(TargetsSurviveRewriting) {
  Configuration configuration = test::SmallConfiguration(1, "n");
  TargetConfig& target = configuration.targets.at("north1");
  target.connections = 25;
  target.connection_cost = std::chrono::milliseconds(6);
  target.cold_limit = 0;
  target.leaving = true;
  const std::string text = SerializeConfiguration(configuration);
  const Configuration read = ParseConfiguration(text);
  BOOST_TEST(SerializeConfiguration(read) == text);
  const TargetConfig& copy = read.targets.at("north1");
  BOOST_TEST(copy.connections == 25U);
  BOOST_TEST(copy.connection_cost.count() == 6);
  BOOST_TEST(copy.cold_limit == 0U);
  BOOST_TEST(copy.leaving);
  BOOST_TEST(read.targets.at("south1").connections == 2U);
  BOOST_TEST(read.targets.at("south1").cold_limit == 1U);
  BOOST_TEST(!read.targets.at("south1").leaving);
}

// Guards against a reader that sees a value change under it, and against
// changes that are reported twice or not at all.
BOOST_AUTO_TEST_CASE(ValuesAreImmutableAndChangesReported) {
  ConfigurationStore store;
  std::vector<DocumentDigest> changes;
  store.OnChange([&changes, &store](const DocumentDigest& digest) {
    BOOST_TEST(store.RevisionOf(digest.key) == digest.revision);
    changes.push_back(digest);
  });
  store.Offer(kCatalogKey, CatalogDocument(3));
  const auto pinned = store.Catalog("seats");
  store.Offer(kCatalogKey, CatalogDocument(4));
  store.Offer(kCatalogKey, CatalogDocument(4));
  BOOST_TEST(pinned->revision == 3U);
  BOOST_TEST(store.Catalog("seats")->revision == 4U);
  BOOST_TEST(changes.size() == 2U);
}

// Guards against a gossip exchange that leaves a difference between two hosts.
BOOST_AUTO_TEST_CASE(DigestsNameWhatThePeerLacks) {
  ConfigurationStore store;
  ConfigurationStore peer;
  for (ConfigurationStore* each : {&store, &peer}) {
    each->Offer(kConfigurationKey, test::SmallDocument(2));
  }
  BOOST_TEST(store.DigestHash() == peer.DigestHash());
  store.Offer(kCatalogKey, CatalogDocument(1));
  peer.Offer(kConfigurationKey, test::SmallDocument(3));
  BOOST_TEST(store.DigestHash() != peer.DigestHash());
  BOOST_TEST((store.NewerThan(peer.Digests()) ==
              std::vector<std::string>{std::string(kCatalogKey)}));
  BOOST_TEST((peer.NewerThan(store.Digests()) ==
              std::vector<std::string>{std::string(kConfigurationKey)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
