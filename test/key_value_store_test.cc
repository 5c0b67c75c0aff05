#include "util/platform_standin/key_value_store.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard::util {

namespace {

const TimePoint kStart{std::chrono::hours(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(key_value_store_test)

// Guards against a lost update when two writers read the same version.
BOOST_AUTO_TEST_CASE(StaleVersionIsRefused) {
  KeyValueStore store;
  BOOST_TEST(store.Put({.key = "k", .value = "a", .expect_version = 0}).ok);
  const WriteResult exists =
      store.Put({.key = "k", .value = "b", .expect_version = 0});
  BOOST_TEST(!exists.ok);
  BOOST_TEST(exists.version == 1U);
  BOOST_TEST(store.Put({.key = "k", .value = "c", .expect_version = 1}).ok);
  BOOST_TEST(!store.Put({.key = "k", .value = "d", .expect_version = 1}).ok);
  BOOST_TEST(store.Find("k")->value == "c");
}

// Guards against a version that repeats after deletion, which would let a
// writer with an old version succeed.
BOOST_AUTO_TEST_CASE(VersionsRiseAcrossDeletion) {
  KeyValueStore store;
  store.Put({.key = "k", .value = "a"});
  BOOST_TEST(!store.Delete("k", 7).ok);
  BOOST_TEST(store.Delete("k", 1).ok);
  BOOST_TEST(store.Find("k") == nullptr);
  BOOST_TEST(
      store.Put({.key = "k", .value = "b", .expect_version = 0}).version == 2U);
}

// Guards against a watch that misses a change or a deletion.
BOOST_AUTO_TEST_CASE(ChangesAfterARevision) {
  KeyValueStore store;
  store.Put({.key = "p/a", .value = "1"});
  store.Put({.key = "p/b", .value = "1"});
  store.Put({.key = "q", .value = "1"});
  const std::uint64_t watched_revision = store.revision();
  BOOST_TEST(store.ChangesAfter("p/", watched_revision).empty());
  BOOST_TEST(store.ChangesAfter("p/", 0).size() == 2U);
  store.Delete("p/a", std::nullopt);
  const std::vector<ChangeEvent> events =
      store.ChangesAfter("p/", watched_revision);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].key == "p/a");
  BOOST_TEST(events[0].stored.deleted);
}

// Guards against a lease that outlives a holder that stopped renewing it.
BOOST_AUTO_TEST_CASE(ExpiredLeaseDeletesItsKeys) {
  KeyValueStore store;
  const Duration ttl = std::chrono::milliseconds(100);
  const std::string lease = store.GrantLease(ttl, kStart);
  BOOST_TEST(store.Put({.key = "k", .value = "a", .lease = lease}).ok);
  BOOST_TEST(store.KeepAlive(lease, kStart + ttl / 2));
  BOOST_TEST(!store.ExpireLeases(kStart + ttl));
  BOOST_TEST(store.ExpireLeases(kStart + ttl / 2 + ttl));
  BOOST_TEST(store.Find("k") == nullptr);
  BOOST_TEST(!store.KeepAlive(lease, kStart + 2 * ttl));
  BOOST_TEST(
      store.Put({.key = "k", .value = "b", .lease = lease}).lease_missing);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
