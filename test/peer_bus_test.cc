#include "src/net/peer_bus.h"

#include <future>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

constexpr std::chrono::seconds kPatience{20};

PeerBusOptions Options(const std::string& id, std::uint64_t nonce) {
  PeerBusOptions options;
  options.id = id;
  options.listen = "127.0.0.1:0";
  options.nonce = nonce;
  options.fleet_key = "0123456789abcdef";
  return options;
}

proto::Envelope Document(const std::string& key, std::size_t bytes = 0) {
  proto::Envelope envelope;
  envelope.mutable_document()->set_key(key);
  envelope.mutable_document()->set_content(std::string(bytes, 'x'));
  return envelope;
}

/// A bus that records document keys until the key "end" arrives.
struct RecordingBus {
  explicit RecordingBus(PeerBusOptions options)
      : bus(std::move(options), [this](const proto::Envelope& envelope) {
          if (envelope.document().key() == "end") {
            this->end.set_value();
          } else {
            this->keys.push_back(envelope.document().key());
          }
        }) {
    this->bus.Start();
  }
  bool WaitForEnd() {
    const bool ended =
        this->end.get_future().wait_for(kPatience) == std::future_status::ready;
    this->bus.Stop();
    return ended;
  }

  std::vector<std::string> keys;
  std::promise<void> end;
  PeerBus bus;
};

PeerBus::Receiver Ignore() {
  return [](const proto::Envelope&) {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_bus_test)

// Guards against processes of another fleet that reach a peer port. The message
// over the same connection before the last one tells that the order holds.
BOOST_AUTO_TEST_CASE(WrongKeyIsDropped) {
  RecordingBus receiver(Options("a", 1));
  PeerBusOptions other = Options("b", 1);
  other.fleet_key = "0123456789abcdeX";
  PeerBus stranger(other, Ignore());
  stranger.Start();
  stranger.Send(receiver.bus.address(), Document("foreign"));
  while (receiver.bus.counters().dropped(PeerDrop::kWrongKey) == 0) {
    std::this_thread::yield();
  }
  PeerBus peer(Options("c", 1), Ignore());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("own"));
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys == std::vector<std::string>{"own"});
}

// Guards against late messages of a process that was replaced.
BOOST_AUTO_TEST_CASE(EarlierNonceIsDropped) {
  RecordingBus receiver(Options("a", 1));
  PeerBus peer(Options("b", 7), Ignore());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("new"));
  peer.SetNonce(6);
  peer.Send(receiver.bus.address(), Document("old"));
  peer.SetNonce(8);
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys == std::vector<std::string>{"new"});
  BOOST_TEST(receiver.bus.counters().dropped(PeerDrop::kOldNonce) == 1U);
}

// Guards against a peer that makes this host hold large messages, on both
// sides.
BOOST_AUTO_TEST_CASE(OversizeIsDropped) {
  PeerBusOptions small = Options("a", 1);
  small.max_message_bytes = 1'000;
  RecordingBus receiver(small);
  PeerBus peer(Options("b", 1), Ignore());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("large", 1'200));
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys.empty());
  BOOST_TEST(receiver.bus.counters().dropped(PeerDrop::kOversize) == 1U);
  PeerBusOptions limited = Options("c", 1);
  limited.max_message_bytes = 1'000;
  PeerBus sender(limited, Ignore());
  BOOST_TEST(!sender.Send(receiver.bus.address(), Document("large", 1'200)));
  BOOST_TEST(sender.counters().dropped(PeerDrop::kOversize) == 1U);
}

// Guards against memory that grows with messages to a peer that does not
// answer.
BOOST_AUTO_TEST_CASE(FullQueueDropsAndCounts) {
  PeerBusOptions options = Options("a", 1);
  options.max_queue = 4;
  options.max_pending = 8;
  PeerBus sender(options, Ignore());
  // The thread has not started, so nothing leaves the first queue.
  int accepted = 0;
  for (int i = 0; i < 20; ++i) {
    accepted += sender.Send("127.0.0.1:1", Document("x")) ? 1 : 0;
  }
  BOOST_TEST(accepted == 8);
  BOOST_TEST(sender.counters().dropped(PeerDrop::kQueueFull) == 12U);
  // Nobody listens there, so the peer's own queue takes 4 of the 8.
  sender.Start();
  sender.Stop();
  BOOST_TEST(sender.counters().dropped(PeerDrop::kQueueFull) == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
