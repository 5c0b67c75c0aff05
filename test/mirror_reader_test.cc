#include "src/relay/mirror_reader.h"

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "src/net/http_client.h"
#include "util/relay_standin/store_standin.h"

namespace auburnyard {

namespace {

constexpr std::chrono::milliseconds kChangeLimit{3'000};
constexpr std::chrono::seconds kTestTimeout{20};  // terminates a hanging test

}  // namespace

BOOST_AUTO_TEST_SUITE(mirror_reader_test)

// Guards against awaiting silent mirrors in turn as if they held requests.
BOOST_AUTO_TEST_CASE(SilentMirrorsAreLeftWithinTheChangeLimit) {
  constexpr std::size_t kSilentMirrors = 2;
  Clock clock;
  boost::asio::io_context io;
  const RelayCodec codec = platform::MakeRelayCodec();
  const StoreCodec store_codec = platform::MakeStoreCodec();
  const RelayContext context{io, clock, codec};
  // Mirrors speak the calls of the store.
  util::StoreStandin silent(io);
  util::StoreStandin answering(io);
  silent.Listen();
  answering.Listen();
  silent.SetFault(util::StoreFault::kSilent);
  answering.Put("a", "1");
  std::size_t requests = 0;
  bool received = false;
  MirrorReader::Hooks hooks;
  hooks.choose_mirror = [&] {
    return ++requests <= kSilentMirrors ? silent.address()
                                        : answering.address();
  };
  hooks.data_age = [] { return Duration::zero(); };
  hooks.known_version = [] {
    return std::optional(StoreVersion{.revision = 1});
  };
  hooks.on_page = [&](const StorePage& page, bool) {
    received = received || !page.items.empty();
    return true;
  };
  hooks.on_failure = [] {};
  hooks.on_call = [](std::string_view, StoreCallOutcome) {};
  const auto reader = std::make_shared<MirrorReader>(
      context, store_codec, StoreTiming(kChangeLimit), std::move(hooks));
  const TimePoint begin = clock.Now();
  reader->Start();
  while (!received && clock.Now() < begin + kTestTimeout) {
    io.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(received);
  BOOST_TEST(ToMilliseconds(clock.Now() - begin) <
             ToMilliseconds(kChangeLimit));
  reader->Stop();
  io.run_for(std::chrono::milliseconds(1));
}

// Guards against waiting for a change at a mirror that has not answered yet,
// because the mirror before it did.
BOOST_AUTO_TEST_CASE(ANewMirrorIsAskedForAnImmediateAnswer) {
  Clock clock;
  boost::asio::io_context io;
  const RelayCodec codec = platform::MakeRelayCodec();
  const StoreCodec store_codec = platform::MakeStoreCodec();
  const RelayContext context{io, clock, codec};
  util::StoreStandin answering(io);
  util::StoreStandin silent(io);
  answering.Listen();
  silent.Listen();
  silent.SetFault(util::StoreFault::kSilent);
  answering.Put("a", "1");
  TimePoint answered_at{};
  TimePoint failed_at{};
  MirrorReader::Hooks hooks;
  hooks.choose_mirror = [&] {
    return answered_at == TimePoint() ? answering.address() : silent.address();
  };
  hooks.data_age = [] { return Duration::zero(); };
  hooks.known_version = [] {
    return std::optional(StoreVersion{.revision = 1});
  };
  hooks.on_page = [&](const StorePage&, bool) {
    answered_at = clock.Now();
    return true;
  };
  hooks.on_failure = [&] { failed_at = clock.Now(); };
  hooks.on_call = [](std::string_view, StoreCallOutcome) {};
  const StoreTiming timing(kChangeLimit);
  const auto reader = std::make_shared<MirrorReader>(context, store_codec,
                                                     timing, std::move(hooks));
  const TimePoint begin = clock.Now();
  reader->Start();
  while (failed_at == TimePoint() && clock.Now() < begin + kTestTimeout) {
    io.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_REQUIRE((answered_at != TimePoint() && failed_at != TimePoint()));
  BOOST_TEST(ToMilliseconds(failed_at - answered_at) <
             ToMilliseconds(timing.mirror_interval() + timing.mirror_wait()));
  reader->Stop();
  io.run_for(std::chrono::milliseconds(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
