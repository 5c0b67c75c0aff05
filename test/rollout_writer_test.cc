#include "src/relay/rollout_writer.h"

#include <boost/test/unit_test.hpp>

#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "src/relay/store_follower.h"
#include "util/relay_standin/store_standin.h"

namespace auburnyard {

namespace {

constexpr int kMaxPolls = 400;  // terminates a hanging test
constexpr std::string_view kServiceName = "s";

class WriterFixture {
 public:
  WriterFixture() {
    this->rollouts.SetLimits({.exposure_share = 0.1, .exposure_margin = 50});
    this->follower.SetRollouts(this->rollouts);
    this->follower.Start();
  }
  ~WriterFixture() {
    this->follower.Stop();
    this->io.run_for(std::chrono::milliseconds(1));
  }
  bool Eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < kMaxPolls && !condition(); ++i) {
      this->writer->Sweep();
      this->io.restart();
      this->io.run_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  StoreCodec store_codec = platform::MakeStoreCodec();
  StoreSchema schema = platform::MakeStoreSchema();
  RelayContext context{this->io, this->clock, this->codec};
  util::StoreStandin store{this->io};
  // The address is known once it listens.
  HostPort store_address = [this] {
    this->store.Listen();
    return ParseHostPort(this->store.address());
  }();
  HostTable hosts;
  RolloutTable rollouts{"h1", this->hosts};
  RelayMetrics metrics;
  TargetTable targets{this->context,
                      {"d1", "r1"},
                      {{"d1", "r1"}},
                      this->hosts,
                      {}};
  PeerTable peers{this->context, this->hosts, "h1", "d1"};
  RelayService service{this->context, this->targets, this->peers, this->metrics,
                       RepeatBudgetLimits()};
  StoreFollower follower{
      this->context,
      this->store_codec,
      this->schema,
      this->store_address,
      StoreFollower::Identity{.host_name = "h1", .failure_domain = "d1"},
      this->service,
      this->targets,
      this->hosts,
      this->metrics};
  std::shared_ptr<RolloutWriter> writer = std::make_shared<RolloutWriter>(
      this->context,
      this->store_codec,
      this->schema,
      this->store_address,
      this->rollouts,
      RolloutWriter::Hooks{
          .on_call = [](std::string_view, StoreCallOutcome) {},
          .targets = [](std::string_view) { return RolloutTargets(); }});
};

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_writer_test)

// Guards against conditions that the store never finds met, so that no state is
// written, and against writes that go on after the end.
BOOST_AUTO_TEST_CASE(StateGoesThroughTheStore) {
  WriterFixture fixture;
  fixture.store.Put("op/rollout/s",
                    R"({"service":"s","target_version":"v2","period_s":60})");
  BOOST_TEST(fixture.Eventually([&fixture] {
    return fixture.rollouts.CountStates()[0] == 1U &&
           fixture.store.calls("/kv-txn") == 1;
  }));
  fixture.store.Put("op/rollout/s",
                    R"({"service":"s","target_version":"v3","period_s":0})");
  BOOST_TEST(fixture.Eventually(
      [&fixture] { return fixture.rollouts.CountStates()[2] == 1U; }));
  BOOST_TEST((fixture.rollouts.PolicyOf(kServiceName).target_version == "v3"));
  const auto calls = fixture.store.calls("/kv-txn");
  fixture.Eventually([count = 0]() mutable { return ++count > 40; });
  BOOST_TEST(fixture.store.calls("/kv-txn") == calls);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
