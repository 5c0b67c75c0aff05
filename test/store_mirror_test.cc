#include "src/relay/store_mirror.h"

#include <map>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "platform/store_codec.h"
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
    mirror.Reset({}, revision);
    const auto changes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int change : changes) {
      ++revision;
      const std::string key = std::to_string(change / 2);
      const StoreItem item =
          change % 2 == 0 ? Item(key, revision) : Removal(key, revision);
      mirror.Apply(std::span(&item, 1), revision);
      if (item.removed) {
        expected.erase(key);
      } else {
        expected[key] = item.value;
      }
      if ((revision + offset) % 3 != 0) {
        continue;
      }
      const auto page = mirror.ChangesAfter(known_revision);
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
  mirror.Reset(start, 6);
  const std::vector<StoreItem> late = {Item("a", 4), Removal("b", 3)};
  mirror.Apply(late, 4);
  BOOST_TEST(mirror.revision() == 6U);
  BOOST_TEST(mirror.All().items.size() == 2U);
  mirror.Reset({}, 5);
  BOOST_TEST(mirror.All().items.size() == 2U);
}

// Guards against notifying readers of every report of a target, which with
// hundreds of hosts is most of the traffic between them, and against a key that
// never reaches a reader because its last change was not significant.
BOOST_AUTO_TEST_CASE(ReadersReceiveSignificantChangesOnly) {
  StoreMirror mirror;
  const std::vector<StoreItem> start = {Item("a", 5), Item("b", 6)};
  mirror.Reset(start, 6);
  mirror.Put(Item("a", 7), /*significant=*/false);
  mirror.Advance(7);
  BOOST_TEST(mirror.revision() == 7U);
  BOOST_TEST(mirror.significant_revision() == 6U);
  BOOST_TEST(mirror.ChangesAfter(6)->items.empty());
  BOOST_TEST(mirror.All().items.front().value == "7");
  mirror.Put(Item("a", 8), /*significant=*/true);
  mirror.Put(Item("a", 9), /*significant=*/false);
  mirror.Put(Item("c", 10), /*significant=*/false);
  mirror.Advance(10);
  const StorePage page = *mirror.ChangesAfter(7);
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
  mirror.Reset(start, 7);
  const std::vector<StoreItem> later = {Item("a", 5), Item("c", 9)};
  mirror.Reset(later, 12);
  const auto page = mirror.ChangesAfter(7);
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
  mirror.Reset({}, 10);
  BOOST_TEST(!mirror.ChangesAfter(9).has_value());
  BOOST_TEST(mirror.ChangesAfter(10).has_value());
  for (std::uint64_t revision = 11; revision < 3'000; ++revision) {
    const StoreItem removal = Removal(std::to_string(revision), revision);
    mirror.Apply(std::span(&removal, 1), revision);
  }
  BOOST_TEST(!mirror.ChangesAfter(10).has_value());
  BOOST_TEST(mirror.ChangesAfter(2'990).has_value());
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
