#ifndef AUBURNYARD_SRC_NET_PEER_BUS_COUNTERS_H_
#define AUBURNYARD_SRC_NET_PEER_BUS_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace auburnyard {

enum class PeerDropReason {
  kQueueFull,
  kWrongKey,
  kOldNonce,
  kOversize,
  kMalformed
};
inline constexpr std::size_t kPeerDropCount = 5;
inline constexpr std::size_t kPeerMessageKindCount = 10;

std::string_view ToString(PeerDropReason drop);
/// Name of a message kind, by its index.
std::string_view PeerMessageName(std::size_t kind);

/// Counters of one peer bus. Bytes are those of serialized envelopes, without
/// framing.
struct PeerBusCounters {
  using Counter = std::atomic<std::uint64_t>;

  std::array<Counter, kPeerMessageKindCount> sent_messages{};
  std::array<Counter, kPeerMessageKindCount> sent_bytes{};
  std::array<Counter, kPeerMessageKindCount> received_messages{};
  std::array<Counter, kPeerMessageKindCount> received_bytes{};
  std::array<Counter, kPeerDropCount> drops{};

  std::uint64_t dropped(PeerDropReason drop) const {
    return this->drops.at(static_cast<std::size_t>(drop)).load();
  }
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_PEER_BUS_COUNTERS_H_
