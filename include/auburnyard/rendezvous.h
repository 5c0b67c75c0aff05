#ifndef AUBURNYARD_RENDEZVOUS_H_
#define AUBURNYARD_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace auburnyard {

/// 64-bit hash of a text with good avalanche behaviour. The same on all hosts.
std::uint64_t HashText(std::string_view text);
/// Bijective mix of 64 bits.
std::uint64_t MixBits(std::uint64_t value);
/// Rank of `candidate` for `key`: the candidate with the highest score comes
/// first.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);
/// True if `left` comes before `right` for `key`; equal scores are ordered by
/// name.
bool RanksBefore(std::string_view key,
                 std::string_view left,
                 std::string_view right);

}  // namespace auburnyard

#endif  // AUBURNYARD_RENDEZVOUS_H_
