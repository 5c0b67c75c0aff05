#ifndef AUBURNYARD_COLD_START_H_
#define AUBURNYARD_COLD_START_H_

#include <cstdint>

namespace auburnyard {

/// Ramps the concurrency of one target from its cold limit up to its slots.
/// After the successes that warm the target, each full round of successes (one
/// per request in the window) raises the window by one.
class ColdStart {
 public:
  explicit ColdStart(std::uint32_t cold_limit);

  /// Returns the number of requests that may run at a target with `slots`
  /// slots.
  std::uint32_t Window(std::uint32_t slots) const;
  bool IsCold(std::uint32_t slots) const { return this->ramp_window < slots; }
  void SetWarmAfter(std::uint32_t count) { this->warm_after = count; }
  /// Counts the success of an exchange that was dispatched in `epoch`.
  /// Successes of earlier epochs are ignored, because the target has become
  /// cold since.
  void OnSuccess(std::uint64_t epoch, std::uint32_t slots);
  /// Restarts the ramp at `limit` and begins a new epoch.
  void Reset(std::uint32_t limit);
  /// Changes the cold limit. `slots` is the number of slots before the change.
  void SetColdLimit(std::uint32_t limit, std::uint32_t slots);
  std::uint64_t epoch() const { return this->current_epoch; }

 private:
  std::uint32_t cold_limit;
  std::uint32_t ramp_window;     // window before the limit by slots
  std::uint32_t warm_after = 0;  // successes of an epoch before the ramp
  std::uint32_t epoch_successes = 0;
  std::uint32_t round_successes = 0;  // of the current round
  std::uint64_t current_epoch = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COLD_START_H_
