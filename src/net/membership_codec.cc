#include "src/net/membership_codec.h"

#include <algorithm>

namespace auburnyard {

namespace {

constexpr int kMaxRecords = 4'096;
constexpr int kMaxPositions = 64;

std::int64_t ToNanoseconds(TimePoint time) {
  return std::chrono::nanoseconds(time.time_since_epoch()).count();
}

TimePoint FromNanoseconds(std::int64_t time) {
  return TimePoint(std::chrono::nanoseconds(time));
}

template <typename Repeated>
void AddRecords(const std::vector<HostRecord>& records, Repeated* out) {
  for (const HostRecord& record : records) {
    proto::HostRecord* entry = out->Add();
    entry->set_id(record.id);
    entry->set_address(record.address);
    entry->set_domain(record.domain);
    entry->set_group(record.group);
    entry->set_nonce(record.nonce);
    entry->set_revision(record.revision);
    entry->set_state(static_cast<std::uint32_t>(record.state));
    entry->set_departure(static_cast<std::uint32_t>(record.leave_source));
    entry->set_serving(record.serving);
  }
}

template <typename Repeated>
std::vector<HostRecord> ReadRecords(const Repeated& entries) {
  std::vector<HostRecord> records;
  for (const proto::HostRecord& entry : entries) {
    if (entry.state() > static_cast<std::uint32_t>(HostState::kLeft) ||
        entry.departure() >
            static_cast<std::uint32_t>(LeaveSource::kHostList)) {
      continue;
    }
    records.push_back(
        {entry.id(), entry.address(), entry.domain(), entry.group(),
         entry.nonce(), entry.revision(), static_cast<HostState>(entry.state()),
         static_cast<LeaveSource>(entry.departure()), entry.serving()});
  }
  return records;
}

template <typename Repeated>
void AddInFlight(const std::vector<InFlightWork>& work, Repeated* out) {
  for (const InFlightWork& item : work) {
    proto::InFlight* entry = out->Add();
    entry->set_target(item.target);
    entry->set_count(item.count);
  }
}

template <typename Repeated>
std::vector<InFlightWork> ReadInFlight(const Repeated& entries) {
  std::vector<InFlightWork> work;
  for (const proto::InFlight& entry : entries) {
    work.push_back({entry.target(), entry.count()});
  }
  return work;
}

void Fill(const Heartbeat& message, proto::Envelope& envelope) {
  proto::Heartbeat* out = envelope.mutable_heartbeat();
  out->set_domain(message.domain);
  out->set_group(message.group);
  out->set_sent_ns(ToNanoseconds(message.sent));
  out->set_view(message.view);
  out->set_revision(message.revision);
  out->set_serving(message.serving);
  AddRecords(message.records, out->mutable_records());
}

void Fill(const HeartbeatAck& message, proto::Envelope& envelope) {
  proto::HeartbeatAck* out = envelope.mutable_heartbeat_ack();
  out->set_sent_ns(ToNanoseconds(message.sent));
  for (const ViewPosition& position : message.positions) {
    proto::ViewPosition* entry = out->add_positions();
    entry->set_view(position.view);
    entry->set_live(position.live);
  }
  out->set_granting(message.granting);
  out->set_settled(message.settled);
  AddInFlight(message.in_flight, out->mutable_in_flight());
  AddRecords(message.records, out->mutable_records());
}

void Fill(const LeaveNotice& message, proto::Envelope& envelope) {
  AddInFlight(message.in_flight, envelope.mutable_leave()->mutable_in_flight());
}

void Fill(const GossipRecords& message, proto::Envelope& envelope) {
  proto::Gossip* out = envelope.mutable_gossip();
  out->set_part(message.part);
  out->set_part_hash(message.part_hash);
  out->set_answer(message.answer);
  AddRecords(message.records, out->mutable_records());
}

Heartbeat Read(const proto::Heartbeat& message) {
  return {message.domain(),
          message.group(),
          FromNanoseconds(message.sent_ns()),
          message.view(),
          message.revision(),
          message.serving(),
          ReadRecords(message.records())};
}

HeartbeatAck Read(const proto::HeartbeatAck& message) {
  HeartbeatAck ack;
  ack.sent = FromNanoseconds(message.sent_ns());
  for (const proto::ViewPosition& entry : message.positions()) {
    ack.positions.push_back({entry.view(), entry.live()});
  }
  ack.granting = message.granting();
  ack.settled = message.settled();
  ack.in_flight = ReadInFlight(message.in_flight());
  ack.records = ReadRecords(message.records());
  return ack;
}

}  // namespace

proto::Envelope ToEnvelope(const MembershipMessage& message) {
  proto::Envelope envelope;
  std::visit([&envelope](const auto& body) { Fill(body, envelope); }, message);
  return envelope;
}

std::optional<MembershipMessage> ToMembershipMessage(
    const proto::Envelope& envelope) {
  switch (envelope.body_case()) {
    case proto::Envelope::kHeartbeat:
      if (envelope.heartbeat().records_size() > kMaxRecords) {
        return std::nullopt;
      }
      return Read(envelope.heartbeat());
    case proto::Envelope::kHeartbeatAck:
      if (envelope.heartbeat_ack().positions_size() > kMaxPositions ||
          envelope.heartbeat_ack().records_size() > kMaxRecords) {
        return std::nullopt;
      }
      return Read(envelope.heartbeat_ack());
    case proto::Envelope::kGossip:
      if (envelope.gossip().records_size() > kMaxRecords) {
        return std::nullopt;
      }
      return GossipRecords{
          envelope.gossip().part(), envelope.gossip().part_hash(),
          envelope.gossip().answer(), ReadRecords(envelope.gossip().records())};
    case proto::Envelope::kLeave:
      return LeaveNotice{ReadInFlight(envelope.leave().in_flight())};
    default:
      return std::nullopt;
  }
}

PeerIdentity SenderOf(const proto::Envelope& envelope) {
  return {envelope.sender(), envelope.address(), envelope.start_nonce()};
}

}  // namespace auburnyard
