#ifndef AUBURNYARD_SRC_CORE_FNV_HASH_H_
#define AUBURNYARD_SRC_CORE_FNV_HASH_H_

#include <cstdint>
#include <string_view>

namespace auburnyard::detail {

/// 64-bit FNV-1a hash. The same on all hosts; not resistant to forged input.
constexpr std::uint64_t FnvHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3U;
  }
  return hash;
}

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_FNV_HASH_H_
