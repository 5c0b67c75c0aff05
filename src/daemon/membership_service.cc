#include "src/daemon/membership_service.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "src/daemon/host_list.h"
#include "src/net/http_client.h"
#include "src/net/membership_codec.h"

namespace auburnyard {

namespace {

// A fifth of the heartbeat interval, so that a suspicion is detected soon after
// it is due.
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kGossipInterval{500};
constexpr std::size_t kGossipFanOut = 2;
constexpr std::size_t kDocumentFanOut = 3;
constexpr std::chrono::milliseconds kHostListTimeout{1'000};
constexpr std::chrono::milliseconds kMinListInterval{2'000};
// Limits the share of host list reads in the control traffic of one host.
constexpr std::size_t kListBytesPerSecond = 2'048;

HostRecord MakeIdentity(const Settings& settings) {
  HostRecord record;
  record.id = settings.id;
  record.address = settings.peer_listen;
  record.domain = settings.domain;
  record.group = settings.ownership_group;
  record.nonce = MakeStartNonce();
  return record;
}

PeerBusOptions MakeBusOptions(const Settings& settings,
                              const HostRecord& identity) {
  PeerBusOptions options;
  options.id = identity.id;
  options.listen = settings.peer_listen;
  options.address = identity.address;
  options.nonce = identity.nonce;
  options.fleet_key = settings.fleet_key;
  return options;
}

template <typename Message>
void AddDigests(const std::vector<PeerDigest>& digests, Message* message) {
  for (const PeerDigest& digest : digests) {
    proto::Digest* entry = message->add_digests();
    entry->set_key(digest.key);
    entry->set_revision(digest.revision);
    entry->set_age_ms(static_cast<std::uint32_t>(digest.age.count()));
  }
}

}  // namespace

std::uint64_t MakeStartNonce() {
  constexpr unsigned kRandomBits = 10;
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return (static_cast<std::uint64_t>(now.count()) << kRandomBits) |
         (std::random_device{}() & ((1U << kRandomBits) - 1));
}

MembershipService::MembershipService(boost::asio::io_context& io,
                                     const Settings& settings,
                                     const Clock& time,
                                     MembershipHooks membership_hooks)
    : context(io),
      clock(time),
      own_identity(MakeIdentity(settings)),
      host_list_address(settings.host_list),
      hooks(std::move(membership_hooks)),
      tick_timer(io),
      gossip_timer(io),
      list_timer(io),
      membership(this->own_identity,
                 MembershipTiming{},
                 !settings.peers.empty() || !settings.host_list.empty(),
                 std::random_device{}(),
                 time.Now()),
      ownership(this->membership),
      random(std::random_device{}()),
      list_interval(kMinListInterval),
      bus(MakeBusOptions(settings, this->own_identity),
          [this](proto::Envelope envelope) {
            boost::asio::post(this->context, [self = this->weak_from_this(),
                                              message = std::move(envelope)] {
              if (const auto service = self.lock()) {
                service->Receive(message);
              }
            });
          }) {
  for (const std::string& peer : settings.peers) {
    this->membership.AddContact(peer);
  }
}

void MembershipService::SetMessageHandler(MessageHandler message_handler) {
  this->handler = std::move(message_handler);
}

// Jitter prevents hosts that start together from sending in lockstep.
void MembershipService::Start() {
  this->bus.Start();
  this->Schedule(this->tick_timer, this->Jitter(kTickInterval),
                 &MembershipService::OnTick);
  this->Schedule(this->gossip_timer, this->Jitter(kGossipInterval),
                 &MembershipService::OnGossip);
  if (!this->host_list_address.empty()) {
    this->Schedule(this->list_timer, Duration::zero(),
                   &MembershipService::ReadHostList);
  }
}

void MembershipService::Leave() {
  this->UpdateInFlight();
  std::vector<OutgoingMessage> messages;
  {
    const std::lock_guard lock(this->mutex);
    this->leaving = true;
    messages = this->membership.Leave(this->clock.Now());
  }
  this->SendAll(messages, {});
  this->ReportChange();
}

void MembershipService::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->tick_timer.cancel();
    this->gossip_timer.cancel();
    this->list_timer.cancel();
  }
  this->bus.Stop();
}

Duration MembershipService::Jitter(Duration range) {
  const std::lock_guard lock(this->mutex);
  return Duration(static_cast<Duration::rep>(
      this->random() % static_cast<std::uint64_t>(range.count())));
}

void MembershipService::Schedule(boost::asio::steady_timer& timer,
                                 Duration delay,
                                 void (MembershipService::*action)()) {
  const std::lock_guard lock(this->mutex);
  if (this->stopped) {
    return;
  }
  timer.expires_after(delay);
  timer.async_wait(
      [self = this->weak_from_this(), action](boost::system::error_code error) {
        const auto service = self.lock();
        if (!error && service) {
          (*service.*action)();
        }
      });
}

void MembershipService::OnTick() {
  this->UpdateInFlight();
  std::vector<OutgoingMessage> messages;
  {
    const std::lock_guard lock(this->mutex);
    messages = this->membership.Tick(this->clock.Now());
    this->bus.SetNonce(this->membership.self().nonce);
  }
  this->SendAll(messages, {});
  this->ReportChange();
  this->Schedule(this->tick_timer, kTickInterval, &MembershipService::OnTick);
}

void MembershipService::OnGossip() {
  std::vector<OutgoingMessage> messages;
  bool left = false;
  {
    const std::lock_guard lock(this->mutex);
    messages = this->membership.GossipRound(kGossipFanOut);
    left = this->leaving;
  }
  this->SendAll(messages, this->hooks.digests ? this->hooks.digests()
                                              : std::vector<PeerDigest>());
  if (left) {
    this->Leave();
  }
  this->Schedule(this->gossip_timer, kGossipInterval,
                 &MembershipService::OnGossip);
}

void MembershipService::SendAll(const std::vector<OutgoingMessage>& messages,
                                const std::vector<PeerDigest>& digests) {
  for (const OutgoingMessage& message : messages) {
    proto::Envelope envelope = ToEnvelope(message.message);
    if (envelope.has_gossip()) {
      AddDigests(digests, envelope.mutable_gossip());
    }
    this->bus.Send(message.address, std::move(envelope));
  }
}

// The hook takes the locks of the gates, so it runs without the membership
// lock.
void MembershipService::UpdateInFlight() {
  if (!this->hooks.in_flight) {
    return;
  }
  std::vector<InFlightWork> work = this->hooks.in_flight();
  const std::lock_guard lock(this->mutex);
  this->membership.SetInFlight(std::move(work));
}

void MembershipService::ReportChange() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->reported_version == this->membership.version()) {
      return;
    }
    this->reported_version = this->membership.version();
  }
  if (this->hooks.on_change) {
    this->hooks.on_change();
  }
}

void MembershipService::Receive(const proto::Envelope& envelope) {
  switch (envelope.body_case()) {
    case proto::Envelope::kHeartbeat:
      this->UpdateInFlight();
      this->HandleMembership(envelope);
      break;
    case proto::Envelope::kHeartbeatAck:
    case proto::Envelope::kLeave:
      this->HandleMembership(envelope);
      break;
    case proto::Envelope::kGossip:
      this->HandleMembership(envelope);
      this->HandleDigests(envelope);
      break;
    case proto::Envelope::kDocument:
      this->HandleDocument(envelope);
      break;
    default:
      if (this->handler) {
        this->handler(envelope);
      }
  }
}

void MembershipService::HandleMembership(const proto::Envelope& envelope) {
  const std::optional<MembershipMessage> message =
      ToMembershipMessage(envelope);
  if (!message) {
    return;
  }
  const PeerIdentity sender = SenderOf(envelope);
  std::vector<OutgoingMessage> answers;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
      answers = this->membership.OnHeartbeat(sender, *heartbeat, now);
    } else if (const auto* ack = std::get_if<HeartbeatAck>(&*message)) {
      this->membership.OnHeartbeatAck(sender, *ack, now);
    } else if (const auto* leave = std::get_if<LeaveNotice>(&*message)) {
      this->membership.OnLeave(sender, *leave, now);
    } else if (const auto* gossip = std::get_if<GossipRecords>(&*message)) {
      answers = this->membership.OnGossip(sender, *gossip, now);
    }
  }
  this->SendAll(answers, {});
  this->ReportChange();
}

void MembershipService::HandleDigests(const proto::Envelope& envelope) {
  if (!this->hooks.on_digests || envelope.gossip().digests().empty()) {
    return;
  }
  std::vector<PeerDigest> digests;
  for (const proto::Digest& entry : envelope.gossip().digests()) {
    digests.push_back({entry.key(), entry.revision(),
                       std::chrono::milliseconds(entry.age_ms())});
  }
  this->hooks.on_digests(envelope.address(), digests);
}

void MembershipService::HandleDocument(const proto::Envelope& envelope) {
  if (this->hooks.on_document) {
    const proto::Document& document = envelope.document();
    this->hooks.on_document(SenderOf(envelope),
                            {{document.key(), document.revision(),
                              std::chrono::milliseconds(document.age_ms())},
                             document.content()});
  }
}

void MembershipService::ReadHostList() {
  if (!this->list_connection) {
    const HostPort endpoint = ParseHostPort(this->host_list_address);
    this->list_connection = std::make_shared<HttpConnection>(
        this->context, endpoint.host, endpoint.port);
  }
  HttpCall call;
  call.path = "/v1/hosts";
  this->list_connection->Exchange(
      call, kHostListTimeout,
      [self = this->weak_from_this()](const ExchangeResult& result) {
        if (const auto service = self.lock()) {
          service->OnHostList(result);
        }
      });
}

void MembershipService::OnHostList(const ExchangeResult& result) {
  if (!result.reusable) {
    this->list_connection.reset();
  }
  const std::optional<std::vector<ListedHost>> hosts =
      result.error.empty() && result.response.status == 200
          ? ParseHostList(result.response.body)
          : std::nullopt;
  this->list_byte_count += result.response.body.size();
  Duration delay = kMinListInterval;
  if (hosts) {
    const std::lock_guard lock(this->mutex);
    this->list_interval = std::max<Duration>(
        kMinListInterval,
        std::chrono::milliseconds(result.response.body.size() * 1'000 /
                                  kListBytesPerSecond));
    this->membership.OnHostList(*hosts, this->list_interval, this->clock.Now());
    delay = this->list_interval;
  }
  this->ReportChange();
  this->Schedule(this->list_timer, delay, &MembershipService::ReadHostList);
}

std::optional<HostRecord> MembershipService::OwnerOf(std::string_view target,
                                                     std::string_view domain) {
  const std::lock_guard lock(this->mutex);
  return this->ownership.OwnerOf(target, domain, this->clock.Now());
}

SlotShare MembershipService::ShareOf(std::string_view target,
                                     std::uint32_t limit) {
  const std::lock_guard lock(this->mutex);
  return this->ownership.ShareOf(target, limit, this->clock.Now());
}

bool MembershipService::Admitted() {
  const std::lock_guard lock(this->mutex);
  return this->membership.admitted();
}

std::size_t MembershipService::RankInDomain() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const Membership::Members& others = this->membership.peers();
  return static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(), [this, now](const auto& it) {
        return it.first < this->own_identity.id &&
               it.second.record.domain == this->own_identity.domain &&
               this->membership.StateOf(it.second, now) == HostState::kLive;
      }));
}

std::vector<MemberStatus> MembershipService::OtherHosts() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::vector<MemberStatus> hosts;
  for (const auto& [id, member] : this->membership.peers()) {
    hosts.push_back({member.record, this->membership.StateOf(member, now),
                     member.round_trip});
  }
  return hosts;
}

std::size_t MembershipService::LiveCount() {
  const std::vector<MemberStatus> hosts = this->OtherHosts();
  return 1 + static_cast<std::size_t>(std::count_if(
                 hosts.begin(), hosts.end(), [](const MemberStatus& host) {
                   return host.state == HostState::kLive;
                 }));
}

HostState MembershipService::StateOf(std::string_view id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->membership.peers().find(id);
  if (found == this->membership.peers().end()) {
    return id == this->own_identity.id ? HostState::kLive : HostState::kLeft;
  }
  return this->membership.StateOf(found->second, this->clock.Now());
}

void MembershipService::ReportUnreachable(std::string_view id) {
  {
    const std::lock_guard lock(this->mutex);
    this->membership.ReportUnreachable(id, this->clock.Now());
  }
  this->ReportChange();
}

bool MembershipService::Send(const std::string& address,
                             proto::Envelope envelope) {
  return this->bus.Send(address, std::move(envelope));
}

void MembershipService::SendDocument(const std::string& address,
                                     const PeerDocument& document) {
  proto::Envelope envelope;
  proto::Document* out = envelope.mutable_document();
  out->set_key(document.digest.key);
  out->set_revision(document.digest.revision);
  out->set_content(document.content);
  out->set_age_ms(static_cast<std::uint32_t>(document.digest.age.count()));
  this->bus.Send(address, std::move(envelope));
}

void MembershipService::PushDocument(const PeerDocument& document) {
  for (const std::string& address : this->DocumentPeers()) {
    this->SendDocument(address, document);
  }
}

std::vector<std::string> MembershipService::DocumentPeers() {
  const std::lock_guard lock(this->mutex);
  const Membership::Members& others = this->membership.peers();
  std::set<std::string_view> domains = {this->own_identity.domain};
  std::vector<std::string> first;
  std::vector<std::string> rest;
  for (const std::string& id : this->membership.RandomPeers(others.size())) {
    const HostRecord& record = others.find(id)->second.record;
    (domains.insert(record.domain).second ? first : rest)
        .push_back(record.address);
  }
  first.insert(first.end(), rest.begin(), rest.end());
  first.resize(std::min(first.size(), kDocumentFanOut));
  return first;
}

}  // namespace auburnyard
