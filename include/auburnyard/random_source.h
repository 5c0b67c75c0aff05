#ifndef AUBURNYARD_RANDOM_SOURCE_H_
#define AUBURNYARD_RANDOM_SOURCE_H_

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace auburnyard {

/// Seeded random numbers. Thread safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  void Shuffle(std::vector<std::string>& values) {
    const std::lock_guard lock(this->mutex);
    std::shuffle(values.begin(), values.end(), this->engine);
  }

 private:
  std::mutex mutex;
  std::mt19937_64 engine;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_RANDOM_SOURCE_H_
