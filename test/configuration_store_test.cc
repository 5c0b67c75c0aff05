#include "auburnyard/configuration_store.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "test/configuration_fixture.h"
#include "test/property.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kHosts = 3;

struct Document {
  std::uint64_t revision = 0;
  std::string nonce;
  bool operator==(const Document&) const = default;
};

// The store under test, with the configuration document only.
class RealHost {
 public:
  void Offer(const Document& document) {
    this->store.Offer(kConfigurationKey,
                      test::SmallDocument(document.revision, document.nonce));
  }
  Document current() const {
    const auto configuration = this->store.configuration();
    return configuration
               ? Document{configuration->revision, configuration->nonce}
               : Document{};
  }

 private:
  ConfigurationStore store;
};

// Broken: accepts every document.
class LastWriterHost {
 public:
  void Offer(const Document& document) { this->in_force = document; }
  Document current() const { return this->in_force; }

 private:
  Document in_force;
};

// Broken: accepts different contents of the same revision.
class EqualRevisionHost {
 public:
  void Offer(const Document& document) {
    if (document.revision >= this->in_force.revision) {
      this->in_force = document;
    }
  }
  Document current() const { return this->in_force; }

 private:
  Document in_force;
};

// One step of a history: kind, host and item.
using Step = std::tuple<int, std::size_t, std::size_t>;
constexpr int kStepKinds = 5;

// Contents of the platform's store over time, with rollbacks, and documents in
// transit to hosts.
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
  void Send(std::size_t host, const Document& document) {
    this->in_transit.emplace_back(host, document);
  }
  // Returns any document in transit, so documents arrive late and out of order;
  // with `keep` the document can arrive again.
  std::pair<std::size_t, Document> Receive(std::size_t item, bool keep) {
    const auto position =
        this->in_transit.begin() +
        static_cast<std::ptrdiff_t>(item % this->in_transit.size());
    const std::pair<std::size_t, Document> received = *position;
    if (!keep) {
      this->in_transit.erase(position);
    }
    return received;
  }
  bool Empty() const { return this->in_transit.empty(); }
  const Document& contents() const { return this->store; }

 private:
  Document store{1, "nonce-0"};
  std::vector<Document> past{store};
  std::vector<std::pair<std::size_t, Document>> in_transit;
  int writes = 0;
};

template <typename Host>
void OfferAndCheck(Host& host, const Document& document) {
  const Document before = host.current();
  host.Offer(document);
  const Document after = host.current();
  RC_ASSERT(after.revision >= before.revision);
  RC_ASSERT(after == before || after.revision > before.revision);
}

template <typename Host>
void CheckRevisionNeverDecreases() {
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
      history.Send(host, hosts.at(to).current());  // gossip
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

// Guards against a revision in force that decreases, or changes its contents,
// when documents are late, duplicated, reordered or come from a store that was
// rolled back (P10).
BOOST_AUTO_TEST_CASE(RevisionNeverDecreases) {
  BOOST_TEST(
      test::CounterExample(kSeed, CheckRevisionNeverDecreases<RealHost>) == "");
}

// Guards against a property that does not detect broken stores.
BOOST_AUTO_TEST_CASE(RevisionPropertyDetectsBrokenStores) {
  BOOST_TEST(test::CounterExample(
                 kSeed, CheckRevisionNeverDecreases<LastWriterHost>) != "");
  BOOST_TEST(test::CounterExample(
                 kSeed, CheckRevisionNeverDecreases<EqualRevisionHost>) != "");
}

// Guards against rejected documents that are neither reported nor counted.
BOOST_AUTO_TEST_CASE(OutcomesAreReportedAndCounted) {
  ConfigurationStore store;
  const auto offer = [&store](std::uint64_t revision, const char* nonce) {
    return store.Offer(kConfigurationKey, test::SmallDocument(revision, nonce));
  };
  BOOST_TEST((offer(5, "a") == DocumentOutcome::kAccepted));
  BOOST_TEST((offer(5, "a") == DocumentOutcome::kUnchanged));
  BOOST_TEST((offer(5, "b") == DocumentOutcome::kConflict));
  BOOST_TEST((offer(4, "a") == DocumentOutcome::kOlder));
  BOOST_CHECK_THROW(store.Offer(kConfigurationKey, "{"), Error);
  BOOST_CHECK_THROW(store.Offer("auburnyard/other", "{}"), Error);
  BOOST_CHECK_THROW(store.Offer("auburnyard/catalog/other", CatalogDocument(1)),
                    Error);
  const ConfigurationCounters counters = store.counters();
  BOOST_TEST(counters.accepted == 1U);
  BOOST_TEST(counters.unchanged == 1U);
  BOOST_TEST(counters.conflict == 1U);
  BOOST_TEST(counters.older == 1U);
  BOOST_TEST(counters.malformed == 3U);
  BOOST_TEST(store.configuration()->nonce == "a");
}

// Guards against a false conflict between two documents of which only one has
// members with default values.
BOOST_AUTO_TEST_CASE(EqualMeaningIsNoConflict) {
  ConfigurationStore store;
  store.Offer(kConfigurationKey, R"({"revision": 1, "services": {"s": {}},
      "domains": {}, "targets": {}})");
  BOOST_TEST((store.Offer(kConfigurationKey,
                          SerializeConfiguration(*store.configuration())) ==
              DocumentOutcome::kUnchanged));
}

// Guards against a member that is omitted because it has its default value, and
// gets another value when the document is read.
BOOST_AUTO_TEST_CASE(TargetsAreUnchangedByRewriting) {
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

// Guards against a value that changes while a reader holds it, and against
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
BOOST_AUTO_TEST_CASE(DigestsNameDocumentsMissingAtThePeer) {
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
