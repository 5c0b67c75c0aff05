#include "src/relay/store_mirror.h"

#include <map>
#include <set>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "platform/store_codec.h"
#include "src/relay/lease_state.h"
#include "test/property.h"

namespace auburnyard {

namespace {

StoreItem Item(std::string key, std::uint64_t revision) {
  return {.key = std::move(key),
          .value = std::to_string(revision),
          .revision = revision};
}

StoreItem Removal(std::string key, std::uint64_t revision) {
  return {.key = std::move(key), .revision = revision, .removed = true};
}

using Keys = std::map<std::string, std::string>;

void Apply(Keys& view, const StorePage& page) {
  for (const StoreItem& item : page.items) {
    if (item.removed) {
      view.erase(item.key);
    } else {
      view[item.key] = item.value;
    }
  }
}

/// All states of a store that is restored from older copies.
struct RestoredStoreModel {
  using State = std::map<std::string, StoreItem>;
  struct Epoch {
    std::uint64_t first = 1;         // revision of the first state
    std::vector<State> states{1};    // one per revision
    std::vector<StoreItem> changes;  // between the states
  };

  void Change(const std::string& key, bool removed) {
    Epoch& epoch = this->epochs.back();
    State state = epoch.states.back();
    const std::uint64_t revision = epoch.first + epoch.states.size();
    StoreItem item = {.key = key, .revision = revision, .removed = removed};
    if (removed) {
      state.erase(key);
    } else {
      item.value = std::to_string(++this->values);
      state[key] = item;
    }
    epoch.states.push_back(std::move(state));
    epoch.changes.push_back(std::move(item));
  }
  void Restore(std::size_t copy) {
    const Epoch& before = this->epochs.back();
    Epoch next = {.first = before.first + copy,
                  .states = {before.states[copy]}};
    this->epochs.push_back(std::move(next));
  }
  const State& StateAt(StoreVersion version) const {
    const Epoch& epoch = this->epochs[version.epoch];
    return epoch.states[version.revision - epoch.first];
  }

  std::vector<Epoch> epochs{1};
  std::uint64_t values = 0;
};

std::vector<StoreItem> ItemsOf(const RestoredStoreModel::State& state) {
  std::vector<StoreItem> items;
  for (const auto& [key, item] : state) {
    items.push_back(item);
  }
  return items;
}

Keys KeysOf(const RestoredStoreModel::State& state) {
  Keys keys;
  for (const auto& [key, item] : state) {
    keys[key] = item.value;
  }
  return keys;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_mirror_test)

// Guards against a reader whose keys differ from those of the store, for any
// sequence of changes and any times at which it reads.
BOOST_AUTO_TEST_CASE(ReaderConvergesToTheStore) {
  const std::string failure = test::CounterExample(7, [](std::uint8_t offset) {
    StoreMirror mirror;
    Keys expected;
    Keys reader;
    std::uint64_t known_revision = 0;
    std::uint64_t revision = 1;
    mirror.Reset({}, {.revision = revision});
    const auto changes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int change : changes) {
      ++revision;
      const std::string key = std::to_string(change / 2);
      const StoreItem item =
          change % 2 == 0 ? Item(key, revision) : Removal(key, revision);
      mirror.Apply(std::span(&item, 1), {.revision = revision});
      if (item.removed) {
        expected.erase(key);
      } else {
        expected[key] = item.value;
      }
      if ((revision + offset) % 3 != 0) {
        continue;
      }
      const auto page = mirror.ChangesAfter({.revision = known_revision});
      if (!page) {
        reader.clear();
        Apply(reader, mirror.All());
      } else {
        Apply(reader, *page);
      }
      known_revision = mirror.revision();
      RC_ASSERT(reader == expected);
    }
  });
  BOOST_TEST(failure == "");
}

// Guards against an older change that arrives late and overwrites a newer one.
BOOST_AUTO_TEST_CASE(OlderChangesAreIgnored) {
  StoreMirror mirror;
  const std::vector<StoreItem> start = {Item("a", 5), Item("b", 6)};
  mirror.Reset(start, {.revision = 6});
  const std::vector<StoreItem> late = {Item("a", 4), Removal("b", 3)};
  mirror.Apply(late, {.revision = 4});
  BOOST_TEST(mirror.revision() == 6U);
  BOOST_TEST(mirror.All().items.size() == 2U);
  mirror.Reset({}, {.revision = 5});
  BOOST_TEST(mirror.All().items.size() == 2U);
}

// Guards against notifying readers of every report of a target, which with
// hundreds of hosts is most of the traffic between them, and against a key that
// never reaches a reader because its last change was not significant.
BOOST_AUTO_TEST_CASE(ReadersReceiveSignificantChangesOnly) {
  StoreMirror mirror;
  const std::vector<StoreItem> start = {Item("a", 5), Item("b", 6)};
  mirror.Reset(start, {.revision = 6});
  mirror.Put(Item("a", 7), /*significant=*/false);
  mirror.Advance(7);
  BOOST_TEST(mirror.revision() == 7U);
  BOOST_TEST(mirror.significant_revision() == 6U);
  BOOST_TEST(mirror.ChangesAfter({.revision = 6})->items.empty());
  BOOST_TEST(mirror.All().items.front().value == "7");
  mirror.Put(Item("a", 8), /*significant=*/true);
  mirror.Put(Item("a", 9), /*significant=*/false);
  mirror.Put(Item("c", 10), /*significant=*/false);
  mirror.Advance(10);
  const StorePage page = *mirror.ChangesAfter({.revision = 7});
  BOOST_REQUIRE(page.items.size() == 2U);
  BOOST_TEST(page.items[0].value == "9");
  BOOST_TEST(page.items[1].key == "c");
}

// Guards against readers that read all keys again after the store has lost its
// history, and against keys removed in the meantime that remain at a reader.
BOOST_AUTO_TEST_CASE(ReadersReceiveTheDifferenceAfterLostHistory) {
  StoreMirror mirror;
  const std::vector<StoreItem> start = {Item("a", 5), Item("b", 6),
                                        Item("c", 7)};
  mirror.Reset(start, {.revision = 7});
  const std::vector<StoreItem> later = {Item("a", 5), Item("c", 9)};
  mirror.Reset(later, {.revision = 12});
  const auto page = mirror.ChangesAfter({.revision = 7});
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page->items.size() == 2U);
  BOOST_TEST(page->items[0].key == "c");
  BOOST_TEST(page->items[1].key == "b");
  BOOST_TEST(page->items[1].removed);
  BOOST_TEST(page->revision == 12U);
  BOOST_TEST(mirror.All().items.size() == 2U);
}

// Guards against a reader that misses removals from before the mirror's
// history.
BOOST_AUTO_TEST_CASE(DroppedTombstonesAreReported) {
  StoreMirror mirror;
  mirror.Reset({}, {.revision = 10});
  BOOST_TEST(!mirror.ChangesAfter({.revision = 9}).has_value());
  BOOST_TEST(mirror.ChangesAfter({.revision = 10}).has_value());
  for (std::uint64_t revision = 11; revision < 3'000; ++revision) {
    const StoreItem removal = Removal(std::to_string(revision), revision);
    mirror.Apply(std::span(&removal, 1), {.revision = revision});
  }
  BOOST_TEST(!mirror.ChangesAfter({.revision = 10}).has_value());
  BOOST_TEST(mirror.ChangesAfter({.revision = 2'990}).has_value());
}

// Guards against answers of a mirror that differ in format from those of the
// store.
BOOST_AUTO_TEST_CASE(AnswersHaveTheFormatOfTheStore) {
  const StoreCodec codec = platform::MakeStoreCodec();
  const StorePage page = {.items = {Item("a", 5), Removal("b", 6)},
                          .revision = 7,
                          .age = std::chrono::milliseconds(1'500)};
  const StorePage changes = codec.decode_watch(
      codec.encode_mirror_response({.all = false, .after = 4}, page));
  BOOST_REQUIRE(changes.items.size() == 2U);
  BOOST_TEST(changes.revision == 7U);
  BOOST_TEST(changes.age.count() == 1'500);
  BOOST_TEST(changes.items[0].value == "5");
  BOOST_TEST(changes.items[1].removed);
  const StorePage all =
      codec.decode_range(codec.encode_mirror_response({.all = true}, page));
  BOOST_TEST(all.items.size() == 2U);
  BOOST_TEST(
      codec.history_lost(codec.encode_mirror_response({}, std::nullopt)));
}

// Guards against a request that is decoded as one of another kind.
BOOST_AUTO_TEST_CASE(MirrorRequestsAreDecoded) {
  const StoreCodec codec = platform::MakeStoreCodec();
  const auto decode = [&codec](const HttpCall& call) {
    HttpRequest request;
    const std::size_t query = call.path.find('?');
    request.path = call.path.substr(0, query);
    request.query = call.path.substr(query + 1);
    return codec.decode_mirror_request(request);
  };
  BOOST_TEST(decode(codec.encode_range("", "", false)).all);
  const MirrorRequest watch =
      decode(codec.encode_watch("", 42, std::chrono::milliseconds(0)));
  BOOST_TEST(!watch.all);
  BOOST_TEST(watch.after == 42U);
  HttpCall other;
  other.path = "/other?after=1";
  BOOST_CHECK_THROW(decode(other), Error);
}

// Guards against data of an older epoch that replaces newer data, and against a
// reader with other keys than its mirror, for any order of the answers of a
// store that is restored at any time.
BOOST_AUTO_TEST_CASE(OlderEpochsReplaceNothing) {
  const std::string failure = test::CounterExample(8, [] {
    RestoredStoreModel store;
    StoreMirror mirror;
    StoreVersion newest;
    StoreVersion reader_version;
    Keys reader;
    for (int step = *rc::gen::inRange(0, 60); step > 0; --step) {
      const auto epoch = *rc::gen::inRange<std::size_t>(0, store.epochs.size());
      const RestoredStoreModel::Epoch& read = store.epochs[epoch];
      const auto at = *rc::gen::inRange<std::size_t>(0, read.states.size());
      const StoreVersion version = {.epoch = epoch,
                                    .revision = read.first + at};
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          store.Change(std::string(1, *rc::gen::inRange('a', 'd')),
                       *rc::gen::arbitrary<bool>());
          break;
        case 2:
          store.Restore(*rc::gen::inRange<std::size_t>(
              0, store.epochs.back().states.size()));
          break;
        case 3: {
          const std::vector<StoreItem> all = ItemsOf(read.states[at]);
          mirror.Reset(all, version);
          newest = std::max(newest, version);
          break;
        }
        default:
          if (mirror.empty()) {
            break;
          }
          // All changes up to `version`, of which some may be known.
          mirror.Apply(std::span(read.changes).first(at), version);
          if (epoch == newest.epoch) {
            newest = std::max(newest, version);
          }
      }
      RC_ASSERT(mirror.version() == newest);
      if (mirror.empty()) {
        continue;
      }
      Keys all;
      Apply(all, mirror.All());
      RC_ASSERT(all == KeysOf(store.StateAt(newest)));
      if (*rc::gen::arbitrary<bool>()) {
        const auto page = mirror.ChangesAfter(reader_version);
        RC_ASSERT(!page || reader_version.epoch == newest.epoch);
        if (!page) {
          reader.clear();
        }
        Apply(reader, page ? *page : mirror.All());
        reader_version = mirror.version();
        RC_ASSERT(reader == all);
      }
    }
  });
  BOOST_TEST(failure == "");
}

// Guards against a lease that is used although the store has lost it, for any
// order of answers and of epochs that are seen on other connections. Without
// the check, its identifier may also be that of another host.
BOOST_AUTO_TEST_CASE(NoLeaseOfAnOlderEpochIsTrusted) {
  const std::string failure = test::CounterExample(9, [] {
    LeaseState state;
    std::uint64_t store_epoch = 0;
    std::uint64_t latest_seen = 0;
    std::uint64_t next_lease = 1;
    std::set<std::uint64_t> existing;  // leases of the store
    std::set<std::uint64_t> written;   // leases with the key
    for (int step = *rc::gen::inRange(0, 60); step > 0; --step) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          ++store_epoch;  // all leases are lost
          existing.clear();
          written.clear();
          break;
        case 1:
          state.ObserveEpoch(store_epoch);
          latest_seen = store_epoch;
          break;
        case 2:
          existing.insert(next_lease);
          RC_ASSERT(state.OnGranted(next_lease++, store_epoch));
          latest_seen = store_epoch;
          break;
        case 3:
          // An answer that was sent before an epoch that is known by now.
          if (latest_seen > 0) {
            RC_ASSERT(!state.OnGranted(next_lease, latest_seen - 1));
          }
          break;
        default:
          if (existing.contains(state.id())) {
            written.insert(state.id());
          }
          state.OnWritten(store_epoch);
          latest_seen = store_epoch;
      }
      if (latest_seen == store_epoch) {
        RC_ASSERT(state.id() == 0 || existing.contains(state.id()));
        RC_ASSERT(!state.written() || written.contains(state.id()));
      }
      RC_ASSERT(state.epoch() == latest_seen);
    }
  });
  BOOST_TEST(failure == "");
}

// Guards against an epoch that is lost between two hosts, and against a mirror
// that holds a request from another epoch as if it knew its revision.
BOOST_AUTO_TEST_CASE(MirrorsStateTheirEpoch) {
  const StoreCodec codec = platform::MakeStoreCodec();
  const HttpCall call = codec.encode_mirror_watch({.epoch = 3, .revision = 42},
                                                  std::chrono::milliseconds(5));
  HttpRequest request;
  const std::size_t query = call.path.find('?');
  request.path = call.path.substr(0, query);
  request.query = call.path.substr(query + 1);
  request.headers = call.headers;
  const MirrorRequest decoded = codec.decode_mirror_request(request);
  BOOST_TEST(decoded.epoch == 3U);
  BOOST_TEST(decoded.after == 42U);
  StoreMirror mirror;
  const std::vector<StoreItem> items = {Item("a", 40)};
  mirror.Reset(items, {.epoch = 4, .revision = 41});
  const StorePage all = codec.decode_range(
      codec.encode_mirror_response({.all = true}, mirror.All()));
  BOOST_TEST((all.version() == StoreVersion{4, 41}));
  BOOST_TEST(!mirror.HasNothingAfter({.epoch = 3, .revision = 42}));
  BOOST_TEST(!mirror.HasNothingAfter({.epoch = 5, .revision = 42}));
  BOOST_TEST(mirror.HasNothingAfter({.epoch = 4, .revision = 41}));
  BOOST_TEST(!mirror.ChangesAfter({.epoch = 5, .revision = 41}).has_value());
  // Without epochs, messages are as before.
  mirror = StoreMirror();
  mirror.Reset(items, {.revision = 41});
  BOOST_TEST(codec.encode_mirror_response({.all = true}, mirror.All())
                 .headers.empty());
  BOOST_TEST(
      codec.encode_mirror_watch({.revision = 1}, std::chrono::milliseconds(0))
          .headers.empty());
  HttpResponse odd{.body = R"({"items":[],"at_rev":1})",
                   .headers = {{"Store-Era", "3x"}}};
  BOOST_CHECK_THROW(codec.decode_range(odd), Error);
  BOOST_TEST(!codec.decode_epoch(odd).has_value());
}

// Guards against a change from a source that is behind, which would bring back
// what is known to be removed or undo a later change.
BOOST_AUTO_TEST_CASE(LaterChangesAreKnown) {
  StoreMirror mirror;
  mirror.Put({.key = "a", .value = "1", .revision = 7}, /*significant=*/true);
  mirror.Put({.key = "b", .value = "1", .revision = 8}, /*significant=*/true);
  mirror.Put({.key = "b", .revision = 10, .removed = true},
             /*significant=*/true);
  BOOST_TEST(mirror.HasNewer({.key = "a", .revision = 6}));
  BOOST_TEST(!mirror.HasNewer({.key = "a", .revision = 7}));
  BOOST_TEST(mirror.HasNewer({.key = "b", .revision = 9}));
  BOOST_TEST(!mirror.HasNewer({.key = "b", .revision = 11}));
  BOOST_TEST(!mirror.HasNewer({.key = "c", .revision = 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
