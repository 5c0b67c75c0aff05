#ifndef AUBURNYARD_KEY_RANGE_H_
#define AUBURNYARD_KEY_RANGE_H_

#include <cstdint>

namespace auburnyard {

/// Half-open range of index keys, [begin, end).
struct KeyRange {
  std::uint64_t begin = 0;
  std::uint64_t end = 0;

  std::uint64_t size() const { return this->end - this->begin; }
  bool empty() const { return this->begin >= this->end; }
  auto operator<=>(const KeyRange&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_KEY_RANGE_H_
