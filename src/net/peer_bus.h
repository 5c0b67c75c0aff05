#ifndef AUBURNYARD_SRC_NET_PEER_BUS_H_
#define AUBURNYARD_SRC_NET_PEER_BUS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>

#include <zmq.hpp>

#include "auburnyard.pb.h"
#include "auburnyard/clock.h"
#include "src/net/peer_bus_counters.h"

namespace auburnyard {

struct PeerBusOptions {
  std::string id;
  std::string listen;  ///< IP:port to bind; port 0 selects a free port
  std::string
      address;  ///< IP:port that peers connect to; empty: the bound address
  std::uint64_t nonce = 0;
  std::string fleet_key;
  int max_queue_per_peer = 1'024;  ///< messages queued for one peer
  std::size_t max_pending_messages =
      16 * 1'024;  ///< messages queued for the socket thread
  std::size_t max_message_bytes = 2 * 1024 * 1024;
  std::chrono::seconds idle_timeout{30};  ///< closes unused connections
};

/// Exchanges messages with other entry hosts. One thread owns all sockets.
class PeerBus {
 public:
  /// Runs on the socket thread and must not block.
  using Receiver = std::function<void(proto::Envelope envelope)>;

  /// Binds the listening socket. Throws Error(kConnection) on failure.
  PeerBus(PeerBusOptions options, Receiver receiver);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  void Start();
  /// Sends the pending messages that can be sent without waiting and closes the
  /// sockets.
  void Stop();
  /// Thread-safe. Fills in the sender's fields. Returns false if the message
  /// was dropped; true does not guarantee delivery.
  bool Send(const std::string& address, proto::Envelope envelope);
  /// Sets the start nonce of later messages.
  void SetNonce(std::uint64_t value) { this->nonce.store(value); }

  const std::string& address() const { return this->options.address; }
  const PeerBusCounters& counters() const { return this->counts; }

 private:
  struct Peer {
    zmq::socket_t socket;
    TimePoint last_used;
  };
  struct Pending {
    std::string address;
    std::string bytes;
    std::size_t kind = 0;
  };

  void Bind();
  void Run();
  void SendPending();
  void SendTo(const Pending& pending);
  Peer& Connect(const std::string& address);
  void CloseIdle();
  void ReceiveAll();
  void Receive(const zmq::message_t& frame);
  bool KeyMatches(const std::string& key) const;
  void Wake();
  void CountDrop(PeerDropReason drop);

  PeerBusOptions options;
  Receiver receiver;
  PeerBusCounters counts;
  std::atomic<std::uint64_t> nonce;
  std::atomic<std::uint64_t> sequence{0};
  zmq::context_t context;
  zmq::socket_t router;
  zmq::socket_t wake_receiver;
  std::unordered_map<std::string, Peer> peers;
  std::unordered_map<std::string, std::uint64_t> newest_nonces;
  TimePoint last_idle_check;
  std::mutex mutex;           // protects the members below
  zmq::socket_t wake_sender;  // used by any thread that holds the mutex
  std::deque<Pending> pending;
  bool stopping = false;
  std::thread thread;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_PEER_BUS_H_
