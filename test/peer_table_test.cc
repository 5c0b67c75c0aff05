#include "src/relay/peer_table.h"

#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"

namespace auburnyard {

namespace {

constexpr int kMaxPolls = 200;  // terminates a hanging test

class PeerFixture {
 public:
  PeerFixture() { this->acceptor.listen(); }

  HostEntry Entry(std::string name, std::string domain) const {
    return {.name = std::move(name),
            .address = "127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()),
            .failure_domain = std::move(domain)};
  }
  /// Opens connections to `count` fetchers of the domain.
  std::set<std::string> Connect(PeerTable& peers,
                                std::string_view domain,
                                std::size_t count) {
    std::set<std::string> chosen;
    for (int i = 0; i < kMaxPolls && chosen.size() < count; ++i) {
      peers.Sweep();
      this->io.restart();
      this->io.run_for(std::chrono::milliseconds(5));
      const TargetPtr peer = peers.Choose(domain);
      if (peer != nullptr) {
        BOOST_TEST(peer->entry().failure_domain == domain);
        chosen.insert(peer->entry().id);
      }
    }
    return chosen;
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  HostTable hosts;
  boost::asio::ip::tcp::acceptor acceptor{
      this->io,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_table_test)

// Guards against bundles of many hosts being spread over all hosts of a domain,
// none of which then has enough requests to detect slow targets.
BOOST_AUTO_TEST_CASE(AllHostsChooseTheSameFewFetchers) {
  PeerFixture fixture;
  for (int i = 0; i < 12; ++i) {
    fixture.hosts.Upsert(
        fixture.Entry("h" + std::to_string(i), i < 6 ? "far" : "near"));
  }
  std::set<std::string> chosen;
  for (int i = 6; i < 12; ++i) {
    PeerTable peers(fixture.context, fixture.hosts, "h" + std::to_string(i),
                    "near");
    chosen.merge(fixture.Connect(peers, "far", 2));
    for (int request = 0; request < 20; ++request) {
      chosen.insert(peers.Choose("far")->entry().id);
    }
  }
  BOOST_TEST(chosen.size() == 2U);
}

// Guards against small hosts being chosen as fetchers although larger ones
// exist.
BOOST_AUTO_TEST_CASE(TheLargestHostsFetch) {
  PeerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    HostEntry entry = fixture.Entry("h" + std::to_string(i), "far");
    entry.cores = i == 4 || i == 8 ? 0.5 : 0.12;
    fixture.hosts.Upsert(entry);
  }
  PeerTable peers(fixture.context, fixture.hosts, "self", "near");
  BOOST_TEST(
      fixture.Connect(peers, "far", 2) == (std::set<std::string>{"h4", "h8"}),
      boost::test_tools::per_element());
}

// Guards against bundles for a domain without registered hosts.
BOOST_AUTO_TEST_CASE(DomainWithoutHostsHasNoFetcher) {
  PeerFixture fixture;
  fixture.hosts.Upsert(fixture.Entry("a", "far"));
  PeerTable peers(fixture.context, fixture.hosts, "self", "near");
  BOOST_TEST(fixture.Connect(peers, "far", 1).size() == 1U);
  fixture.hosts.Remove("a", fixture.clock.Now());
  BOOST_TEST((peers.Choose("far") == nullptr));
}

// Guards against bundles for unreachable hosts: each host sends few requests,
// and every host would lose some of them before it detects the fault.
BOOST_AUTO_TEST_CASE(HostsOutOfReachAreNotChosen) {
  PeerFixture fixture;
  fixture.hosts.Upsert(fixture.Entry("a", "far"));
  HostEntry unreachable = fixture.Entry("b", "far");
  unreachable.address = "127.0.0.1:9";
  fixture.hosts.Upsert(unreachable);
  PeerTable peers(fixture.context, fixture.hosts, "self", "near");
  BOOST_TEST(
      (peers.Choose("far") == nullptr));  // no connection is established yet
  BOOST_TEST(fixture.Connect(peers, "far", 1).contains("a"));
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(peers.Choose("far")->entry().id == "a");
  }
  peers.Choose("far")->OnUnreachable(fixture.clock.Now());
  BOOST_TEST((peers.Choose("far") == nullptr));
}

// Guards against a host of a large domain that connects to targets itself
// although it is no fetcher, and against a fetcher that delegates to others.
BOOST_AUTO_TEST_CASE(LargeDomainsReachTheirTargetsThroughFetchers) {
  PeerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    fixture.hosts.Upsert(fixture.Entry("h" + std::to_string(i), "own"));
  }
  std::size_t delegating = 0;
  for (int i = 0; i < 9; ++i) {
    const PeerTable peers(fixture.context, fixture.hosts,
                          "h" + std::to_string(i), "own");
    delegating += peers.delegates() ? 1 : 0;
  }
  BOOST_TEST(delegating == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
