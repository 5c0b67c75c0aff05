#include "src/relay/peer_table.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include "platform/relay_dialect.h"

namespace auburnyard {

BOOST_AUTO_TEST_SUITE(peer_table_test)

// Guards against bundles of many hosts that spread over all hosts of a domain,
// none of which then sees enough requests to notice slow targets.
BOOST_AUTO_TEST_CASE(AllHostsChooseTheSameFewFetchers) {
  Clock clock;
  boost::asio::io_context io;
  const RelayWire wire = platform::MakeRelayWire();
  const RelayContext context{io, clock, wire};
  HostTable hosts;
  for (int i = 0; i < 12; ++i) {
    hosts.Upsert({.name = "h" + std::to_string(i),
                  .address = "127.0.0.1:9",
                  .failure_domain = i < 6 ? "far" : "near"});
  }
  std::set<std::string> chosen;
  for (int i = 6; i < 12; ++i) {
    PeerTable peers(context, hosts, "h" + std::to_string(i), "near");
    for (int request = 0; request < 20; ++request) {
      const TargetPtr peer = peers.Choose("far");
      BOOST_REQUIRE(peer != nullptr);
      BOOST_TEST(peer->entry().failure_domain == "far");
      chosen.insert(peer->entry().id);
    }
  }
  BOOST_TEST(chosen.size() == 2U);
}

// Guards against small hosts that fetch for all others beside larger ones.
BOOST_AUTO_TEST_CASE(TheLargestHostsFetch) {
  Clock clock;
  boost::asio::io_context io;
  const RelayWire wire = platform::MakeRelayWire();
  const RelayContext context{io, clock, wire};
  HostTable hosts;
  for (int i = 0; i < 9; ++i) {
    hosts.Upsert({.name = "h" + std::to_string(i),
                  .address = "127.0.0.1:9",
                  .failure_domain = "far",
                  .cores = i == 4 || i == 8 ? 0.5 : 0.12});
  }
  PeerTable peers(context, hosts, "self", "near");
  std::set<std::string> chosen;
  for (int request = 0; request < 40; ++request) {
    chosen.insert(peers.Choose("far")->entry().id);
  }
  BOOST_TEST(chosen == (std::set<std::string>{"h4", "h8"}),
             boost::test_tools::per_element());
}

// Guards against bundles for a domain whose hosts are gone.
BOOST_AUTO_TEST_CASE(DomainWithoutHostsHasNoFetcher) {
  Clock clock;
  boost::asio::io_context io;
  const RelayWire wire = platform::MakeRelayWire();
  const RelayContext context{io, clock, wire};
  HostTable hosts;
  hosts.Upsert(
      {.name = "a", .address = "127.0.0.1:9", .failure_domain = "far"});
  PeerTable peers(context, hosts, "self", "near");
  BOOST_TEST((peers.Choose("far") != nullptr));
  hosts.Remove("a", clock.Now());
  BOOST_TEST((peers.Choose("far") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
