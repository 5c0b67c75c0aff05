#include "src/net/peer_bus_counters.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, kPeerDropCount> kDropNames = {
    "queue_full", "wrong_key", "old_nonce", "oversize", "malformed"};
// In the order of the members of `body` in proto::Envelope.
constexpr std::array<std::string_view, kPeerMessageKindCount> kKindNames = {
    "heartbeat", "heartbeat_ack", "gossip", "document", "enqueue",
    "started",   "sub_result",    "cancel", "leave",    "knowledge"};

}  // namespace

std::string_view ToString(PeerDropReason drop) {
  return kDropNames.at(static_cast<std::size_t>(drop));
}

std::string_view PeerMessageName(std::size_t kind) {
  return kKindNames.at(kind);
}

}  // namespace auburnyard
