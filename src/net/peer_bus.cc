#include "src/net/peer_bus.h"

#include <array>

#include <openssl/crypto.h>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

constexpr const char* kWakeAddress = "inproc://wake";
// Connections with unacknowledged data are closed after this time. Otherwise
// the exponential backoff of TCP retransmission would leave a peer unreachable
// long after a network partition ended.
constexpr int kMaxRetransmitMs = 3'000;
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 2'000;
// Messages received before pending outbound messages are sent.
constexpr int kMaxReceiveBatch = 256;

std::size_t KindOf(const proto::Envelope& envelope) {
  return static_cast<std::size_t>(envelope.body_case()) -
         static_cast<std::size_t>(proto::Envelope::kHeartbeat);
}

}  // namespace

PeerBus::PeerBus(PeerBusOptions bus_options, Receiver on_receive)
    : options(std::move(bus_options)),
      receiver(std::move(on_receive)),
      nonce(this->options.nonce),
      context(1),
      router(this->context, zmq::socket_type::router),
      wake_receiver(this->context, zmq::socket_type::pull),
      wake_sender(this->context, zmq::socket_type::push) {
  this->Bind();
  this->wake_receiver.bind(kWakeAddress);
  this->wake_sender.set(zmq::sockopt::linger, 0);
  this->wake_sender.connect(kWakeAddress);
}

PeerBus::~PeerBus() {
  this->Stop();
}

void PeerBus::Bind() {
  this->router.set(zmq::sockopt::linger, 0);
  // Bounds memory: ZeroMQ rejects larger messages. Messages between
  // max_message_bytes and this size are dropped and counted in Receive.
  this->router.set(
      zmq::sockopt::maxmsgsize,
      static_cast<std::int64_t>(2 * this->options.max_message_bytes));
  try {
    this->router.bind("tcp://" + this->options.listen);
  } catch (const zmq::error_t& error) {
    throw Error(ErrorKind::kConnection, "cannot listen for peers on " +
                                            this->options.listen + ": " +
                                            error.what());
  }
  if (this->options.address.empty()) {
    constexpr std::size_t kPrefix = std::string_view("tcp://").size();
    this->options.address =
        this->router.get(zmq::sockopt::last_endpoint).substr(kPrefix);
  }
}

void PeerBus::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void PeerBus::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->Wake();
  }
  this->thread.join();
}

bool PeerBus::Send(const std::string& address, proto::Envelope envelope) {
  envelope.set_fleet_key(this->options.fleet_key);
  envelope.set_sender(this->options.id);
  envelope.set_address(this->options.address);
  envelope.set_start_nonce(this->nonce.load());
  envelope.set_sequence(++this->sequence);
  Pending item{address, envelope.SerializeAsString(), KindOf(envelope)};
  if (item.bytes.size() > this->options.max_message_bytes) {
    this->CountDrop(PeerDropReason::kOversize);
    return false;
  }
  const std::lock_guard lock(this->mutex);
  if (this->stopping ||
      this->pending.size() >= this->options.max_pending_messages) {
    this->CountDrop(PeerDropReason::kQueueFull);
    return false;
  }
  this->pending.push_back(std::move(item));
  if (this->pending.size() == 1) {
    this->Wake();
  }
  return true;
}

// Requires the mutex, because a ZeroMQ socket must not be used by several
// threads at the same time.
void PeerBus::Wake() {
  this->wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
}

void PeerBus::CountDrop(PeerDropReason drop) {
  ++this->counts.drops.at(static_cast<std::size_t>(drop));
}

void PeerBus::Run() {
  std::array<zmq::pollitem_t, 2> items = {
      {{this->router.handle(), 0, ZMQ_POLLIN, 0},
       {this->wake_receiver.handle(), 0, ZMQ_POLLIN, 0}}};
  bool running = true;
  while (running) {
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
    this->ReceiveAll();
    zmq::message_t signal;
    while (this->wake_receiver.recv(signal, zmq::recv_flags::dontwait)) {
    }
    {
      const std::lock_guard lock(this->mutex);
      running = !this->stopping;
    }
    this->SendPending();
  }
  this->peers.clear();
  this->router.close();
}

void PeerBus::SendPending() {
  std::deque<Pending> batch;
  {
    const std::lock_guard lock(this->mutex);
    batch.swap(this->pending);
  }
  for (const Pending& item : batch) {
    this->SendTo(item);
  }
  this->CloseIdle();
}

void PeerBus::SendTo(const Pending& item) {
  try {
    Peer& peer = this->Connect(item.address);
    peer.last_used = std::chrono::steady_clock::now();
    if (peer.socket.send(zmq::buffer(item.bytes), zmq::send_flags::dontwait)) {
      ++this->counts.sent_messages.at(item.kind);
      this->counts.sent_bytes.at(item.kind) += item.bytes.size();
      return;
    }
    this->CountDrop(PeerDropReason::kQueueFull);
  } catch (const zmq::error_t&) {
    // The address is not valid.
    this->CountDrop(PeerDropReason::kMalformed);
  }
}

PeerBus::Peer& PeerBus::Connect(const std::string& address) {
  const auto found = this->peers.find(address);
  if (found != this->peers.end()) {
    return found->second;
  }
  zmq::socket_t socket(this->context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, this->options.max_queue_per_peer);
  socket.set(zmq::sockopt::tcp_maxrt, kMaxRetransmitMs);
  socket.set(zmq::sockopt::reconnect_ivl, kMinReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  socket.connect("tcp://" + address);
  return this->peers.emplace(address, Peer{std::move(socket), {}})
      .first->second;
}

// Gossip contacts every host of the fleet over time. If unused connections were
// kept, each host would end up connected to all other hosts.
void PeerBus::CloseIdle() {
  const TimePoint now = std::chrono::steady_clock::now();
  if (now - this->last_idle_check < this->options.idle_timeout / 4) {
    return;
  }
  this->last_idle_check = now;
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return now - entry.second.last_used > this->options.idle_timeout;
  });
}

void PeerBus::ReceiveAll() {
  zmq::message_t frame;
  for (int i = 0; i < kMaxReceiveBatch; ++i) {
    if (!this->router.recv(frame, zmq::recv_flags::dontwait)) {
      return;
    }
    // The first frame is the routing id of the connection. Exactly one payload
    // frame must follow, otherwise the message is malformed.
    int frames = 0;
    zmq::message_t payload;
    while (frame.more()) {
      if (!this->router.recv(frame, zmq::recv_flags::dontwait)) {
        return;
      }
      ++frames;
      if (frames == 1) {
        payload.copy(frame);
      }
    }
    if (frames == 1) {
      this->Receive(payload);
    } else {
      this->CountDrop(PeerDropReason::kMalformed);
    }
  }
}

bool PeerBus::KeyMatches(const std::string& key) const {
  return key.size() == this->options.fleet_key.size() &&
         CRYPTO_memcmp(key.data(), this->options.fleet_key.data(),
                       key.size()) == 0;
}

void PeerBus::Receive(const zmq::message_t& frame) {
  if (frame.size() > this->options.max_message_bytes) {
    this->CountDrop(PeerDropReason::kOversize);
    return;
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size())) ||
      envelope.body_case() == proto::Envelope::BODY_NOT_SET) {
    this->CountDrop(PeerDropReason::kMalformed);
    return;
  }
  if (!this->KeyMatches(envelope.fleet_key())) {
    this->CountDrop(PeerDropReason::kWrongKey);
    return;
  }
  std::uint64_t& newest = this->newest_nonces[envelope.sender()];
  if (envelope.start_nonce() < newest) {
    this->CountDrop(PeerDropReason::kOldNonce);
    return;
  }
  newest = envelope.start_nonce();
  ++this->counts.received_messages.at(KindOf(envelope));
  this->counts.received_bytes.at(KindOf(envelope)) += frame.size();
  envelope.clear_fleet_key();
  this->receiver(std::move(envelope));
}

}  // namespace auburnyard
