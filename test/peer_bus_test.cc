#include "src/net/peer_bus.h"

#include <future>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

constexpr std::chrono::seconds kWaitTimeout{20};

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
    const bool ended = this->end.get_future().wait_for(kWaitTimeout) ==
                       std::future_status::ready;
    this->bus.Stop();
    return ended;
  }

  std::vector<std::string> keys;
  std::promise<void> end;
  PeerBus bus;
};

PeerBus::Receiver IgnoreMessages() {
  return [](const proto::Envelope&) {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_bus_test)

// Guards against accepting messages from a process of another fleet. The wrong
// key has been counted before "own" and "end" are sent; receiving "own" before
// "end" shows that messages of one connection arrive in order.
BOOST_AUTO_TEST_CASE(WrongKeyIsDropped) {
  RecordingBus receiver(Options("a", 1));
  PeerBusOptions other = Options("b", 1);
  other.fleet_key = "0123456789abcdeX";
  PeerBus other_fleet(other, IgnoreMessages());
  other_fleet.Start();
  other_fleet.Send(receiver.bus.address(), Document("other fleet"));
  while (receiver.bus.counters().dropped(PeerDropReason::kWrongKey) == 0) {
    std::this_thread::yield();
  }
  PeerBus peer(Options("c", 1), IgnoreMessages());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("own"));
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys == std::vector<std::string>{"own"});
}

// Guards against late messages of a process that has been restarted.
BOOST_AUTO_TEST_CASE(EarlierNonceIsDropped) {
  RecordingBus receiver(Options("a", 1));
  PeerBus peer(Options("b", 7), IgnoreMessages());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("new"));
  peer.SetNonce(6);
  peer.Send(receiver.bus.address(), Document("old"));
  peer.SetNonce(8);
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys == std::vector<std::string>{"new"});
  BOOST_TEST(receiver.bus.counters().dropped(PeerDropReason::kOldNonce) == 1U);
}

// Guards against messages above the size limit, which would exhaust memory,
// when sending and when receiving.
BOOST_AUTO_TEST_CASE(OversizeIsDropped) {
  PeerBusOptions small = Options("a", 1);
  small.max_message_bytes = 1'000;
  RecordingBus receiver(small);
  PeerBus peer(Options("b", 1), IgnoreMessages());
  peer.Start();
  peer.Send(receiver.bus.address(), Document("large", 1'200));
  peer.Send(receiver.bus.address(), Document("end"));
  BOOST_TEST(receiver.WaitForEnd());
  BOOST_TEST(receiver.keys.empty());
  BOOST_TEST(receiver.bus.counters().dropped(PeerDropReason::kOversize) == 1U);
  PeerBusOptions limited = Options("c", 1);
  limited.max_message_bytes = 1'000;
  PeerBus sender(limited, IgnoreMessages());
  BOOST_TEST(!sender.Send(receiver.bus.address(), Document("large", 1'200)));
  BOOST_TEST(sender.counters().dropped(PeerDropReason::kOversize) == 1U);
}

// Guards against unbounded memory use by messages to an unreachable peer.
BOOST_AUTO_TEST_CASE(FullQueueDropsAndCounts) {
  PeerBusOptions options = Options("a", 1);
  options.max_queue_per_peer = 4;
  options.max_pending_messages = 8;
  PeerBus sender(options, IgnoreMessages());
  // The socket thread is not started, so no message leaves the pending queue.
  int accepted = 0;
  for (int i = 0; i < 20; ++i) {
    accepted += sender.Send("127.0.0.1:1", Document("x")) ? 1 : 0;
  }
  BOOST_TEST(accepted == 8);
  BOOST_TEST(sender.counters().dropped(PeerDropReason::kQueueFull) == 12U);
  // No process listens on the port, so the queue of the peer accepts 4 of the 8
  // pending messages.
  sender.Start();
  sender.Stop();
  BOOST_TEST(sender.counters().dropped(PeerDropReason::kQueueFull) == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
