#include "auburnyard/mirror_choice.h"

#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

const TimePoint kStart{std::chrono::seconds(1'000)};

std::vector<HostEntry> Domain(std::size_t hosts) {
  std::vector<HostEntry> entries;
  for (std::size_t i = 0; i < hosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    entries.push_back({.name = name, .mirror_address = "mirror of " + name});
  }
  return entries;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(mirror_choice_test)

// Guards against a number of watches that grows with the domain, and against
// hosts that follow each other while none of them watches the store.
BOOST_AUTO_TEST_CASE(OneHostWatchesForADomain) {
  for (const std::size_t size : {5U, 13U, 60U}) {
    const std::vector<HostEntry> domain = Domain(size);
    std::set<std::string> watching;
    std::set<std::string> followed;
    for (const HostEntry& host : domain) {
      const std::string mirror = MirrorChoice(host.name).Choose(domain, kStart);
      if (mirror.empty()) {
        watching.insert(host.mirror_address);
      } else {
        followed.insert(mirror);
      }
    }
    BOOST_TEST(watching.size() == 1U);
    BOOST_TEST(followed == watching, boost::test_tools::per_element());
  }
}

// Guards against a small host that serves the domain although a larger one is
// available.
BOOST_AUTO_TEST_CASE(HostWithMostCoresWatches) {
  std::vector<HostEntry> domain = Domain(13);
  for (HostEntry& host : domain) {
    host.cores = host.name == "h7" ? 0.5 : 0.12;
  }
  for (const HostEntry& host : domain) {
    const bool watches = MirrorChoice(host.name).Choose(domain, kStart).empty();
    BOOST_TEST(watches == (host.cores > 0.2));
  }
}

// Guards against the delay of a mirror in domains where it saves few calls.
BOOST_AUTO_TEST_CASE(HostsOfSmallDomainsWatchTheStore) {
  for (std::size_t size = 0; size < 5; ++size) {
    BOOST_TEST(MirrorChoice("h0").Choose(Domain(size), kStart).empty());
  }
}

// Guards against an entire domain that calls the store because its watcher does
// not answer, and against hosts that never return to the watcher.
BOOST_AUTO_TEST_CASE(FailedMirrorIsReplacedByOneSuccessor) {
  const std::vector<HostEntry> domain = Domain(50);
  std::set<std::string> watching;
  std::set<std::string> followed;
  for (const HostEntry& host : domain) {
    MirrorChoice choice(host.name);
    const std::string first = choice.Choose(domain, kStart);
    if (first.empty()) {
      continue;  // the watcher that is lost
    }
    choice.OnFailure(first, kStart);
    const std::string second = choice.Choose(domain, kStart);
    if (second.empty()) {
      watching.insert(host.mirror_address);
    } else {
      followed.insert(second);
    }
    BOOST_TEST(second != first);
    BOOST_TEST(choice.Choose(domain, kStart + std::chrono::seconds(10)) ==
               first);
  }
  BOOST_TEST(watching.size() == 1U);
  BOOST_TEST(followed == watching, boost::test_tools::per_element());
}

// Guards against a host that keeps following mirrors with stale data, and
// against one that never returns to them.
BOOST_AUTO_TEST_CASE(OutdatedMirrorsAreTemporarilyReplacedByTheStore) {
  const std::vector<HostEntry> domain = Domain(8);
  for (const HostEntry& host : domain) {
    MirrorChoice choice(host.name);
    const std::string first = choice.Choose(domain, kStart);
    choice.OnOutdated(kStart);
    BOOST_TEST(choice.Choose(domain, kStart).empty());
    BOOST_TEST(choice.Choose(domain, kStart + std::chrono::seconds(10)) ==
               first);
  }
}

// Guards against hosts without a mirror being followed.
BOOST_AUTO_TEST_CASE(HostsWithoutMirrorAreNotFollowed) {
  std::vector<HostEntry> domain = Domain(8);
  for (HostEntry& host : domain) {
    host.mirror_address.clear();
  }
  BOOST_TEST(MirrorChoice("h0").Choose(domain, kStart).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
