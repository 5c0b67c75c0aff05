#include "auburnyard/rendezvous.h"

namespace auburnyard {

// Finalizer of SplitMix64.
std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

// FNV-1a alone gives similar names similar high bits, which skews the order of
// hosts; the finalizer removes this bias.
std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return MixBits(hash);
}

std::uint64_t RendezvousScore(std::string_view key,
                              std::string_view candidate) {
  return MixBits(HashText(key) ^ (HashText(candidate) + 0x9e3779b97f4a7c15ULL));
}

bool RanksBefore(std::string_view key,
                 std::string_view left,
                 std::string_view right) {
  const std::uint64_t left_score = RendezvousScore(key, left);
  const std::uint64_t right_score = RendezvousScore(key, right);
  return left_score != right_score ? left_score > right_score : left < right;
}

}  // namespace auburnyard
