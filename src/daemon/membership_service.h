#ifndef AUBURNYARD_SRC_DAEMON_MEMBERSHIP_SERVICE_H_
#define AUBURNYARD_SRC_DAEMON_MEMBERSHIP_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/membership.h"
#include "auburnyard/ownership.h"
#include "src/daemon/membership_hooks.h"
#include "src/daemon/settings.h"
#include "src/net/http_connection.h"
#include "src/net/peer_bus.h"

namespace auburnyard {

/// State of another host, as reported by `status`.
struct MemberStatus {
  HostRecord record;
  HostState state = HostState::kLive;
  std::optional<Duration> round_trip;
};

/// Start nonce of a new process: wall clock in microseconds with random low
/// bits, so that a later start has a higher nonce.
std::uint64_t MakeStartNonce();

/// Drives the membership of this host from the peer bus, the host list and
/// timers. Thread-safe.
class MembershipService
    : public std::enable_shared_from_this<MembershipService> {
 public:
  /// `clock` must outlive the service. Throws Error(kConnection) if the peer
  /// address cannot be bound.
  MembershipService(boost::asio::io_context& context,
                    const Settings& settings,
                    const Clock& clock,
                    MembershipHooks hooks);

  /// Handles messages that do not concern membership. Set before Start.
  using MessageHandler = std::function<void(proto::Envelope envelope)>;
  void SetMessageHandler(MessageHandler handler);

  void Start();
  /// Notifies peers that this host is leaving. Repeats the notice with the work
  /// still in flight until Stop.
  void Leave();
  /// Stops timers and the bus.
  void Stop();

  std::optional<HostRecord> OwnerOf(std::string_view target,
                                    std::string_view domain);
  SlotShare ShareOf(std::string_view target, std::uint32_t limit);
  /// True if this host was admitted by its ownership group.
  bool Admitted();
  /// Rank of this host among the live hosts of its domain, 0 for the lowest id.
  std::size_t RankInDomain();
  std::vector<MemberStatus> OtherHosts();
  /// Live hosts, this one included.
  std::size_t LiveCount();
  HostState StateOf(std::string_view id);
  /// Reports that a host did not answer in time.
  void ReportUnreachable(std::string_view id);

  bool Send(const std::string& address, proto::Envelope envelope);
  void SendDocument(const std::string& address, const PeerDocument& document);
  /// Sends to 3 random live peers, in other domains first.
  void PushDocument(const PeerDocument& document);

  const HostRecord& identity() const { return this->own_identity; }
  const PeerBusCounters& counters() const { return this->bus.counters(); }
  /// Bytes of host lists read so far.
  std::uint64_t list_bytes() const { return this->list_byte_count.load(); }

 private:
  void Receive(const proto::Envelope& envelope);
  void HandleMembership(const proto::Envelope& envelope);
  void HandleDigests(const proto::Envelope& envelope);
  void HandleDocument(const proto::Envelope& envelope);
  void Schedule(boost::asio::steady_timer& timer,
                Duration delay,
                void (MembershipService::*action)());
  void OnTick();
  void OnGossip();
  void ReadHostList();
  void OnHostList(const ExchangeResult& result);
  void SendAll(const std::vector<OutgoingMessage>& messages,
               const std::vector<PeerDigest>& digests);
  void UpdateInFlight();
  void ReportChange();
  Duration Jitter(Duration range);
  std::vector<std::string> DocumentPeers();

  boost::asio::io_context& context;
  const Clock& clock;
  HostRecord own_identity;
  std::string host_list_address;
  MembershipHooks hooks;
  MessageHandler handler;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer gossip_timer;
  boost::asio::steady_timer list_timer;
  std::shared_ptr<HttpConnection> list_connection;
  std::atomic<std::uint64_t> list_byte_count{0};
  std::mutex mutex;  // protects the members below
  Membership membership;
  Ownership ownership;
  std::mt19937_64 random;
  std::uint64_t reported_version = 0;
  Duration list_interval;
  bool leaving = false;
  bool stopped = false;
  PeerBus bus;  // last: its thread uses the members above
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_MEMBERSHIP_SERVICE_H_
