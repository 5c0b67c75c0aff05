#ifndef AUBURNYARD_BACKOFF_H_
#define AUBURNYARD_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace auburnyard {

/// Jittered exponential delays between retries. Not synchronized.
class Backoff {
 public:
  static constexpr std::chrono::milliseconds kMinDelay{200};
  static constexpr std::chrono::milliseconds kMaxDelay{5'000};

  explicit Backoff(std::uint64_t seed);

  /// Returns the delay before the next retry, uniform between half the ceiling
  /// and the ceiling, which doubles from 400 ms to `kMaxDelay`.
  std::chrono::milliseconds Next();
  /// Returns to the minimum delay after a success.
  void Reset();

 private:
  std::mt19937_64 random;
  std::chrono::milliseconds ceiling;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_BACKOFF_H_
