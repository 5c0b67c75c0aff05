#ifndef AUBURNYARD_COLD_START_H_
#define AUBURNYARD_COLD_START_H_

#include <cstdint>

namespace auburnyard {

/// Ramp of one target from its cold limit to its slots: after the successes
/// that warm the target, one more request in parallel for each full round of
/// successes.
class ColdStart {
 public:
  explicit ColdStart(std::uint32_t cold_limit);

  /// Requests that may run at a target with `slots` slots.
  std::uint32_t Window(std::uint32_t slots) const;
  bool Cold(std::uint32_t slots) const { return this->proven < slots; }
  void SetWarmAfter(std::uint32_t count) { this->warm_after = count; }
  /// Counts a success of an exchange that was dispatched in `epoch`. One from
  /// an earlier epoch proves nothing about the target's present state.
  void OnSuccess(std::uint64_t epoch, std::uint32_t slots);
  /// The target is cold again: returns to `limit` and begins a new epoch.
  void Drop(std::uint32_t limit);
  /// Changes the cold limit. `slots` is the number of slots before the change.
  void SetColdLimit(std::uint32_t limit, std::uint32_t slots);
  std::uint64_t epoch() const { return this->current_epoch; }

 private:
  std::uint32_t cold_limit;
  std::uint32_t proven;  // parallel requests that the target may receive
  std::uint32_t warm_after = 0;  // successes of an epoch before the ramp
  std::uint32_t epoch_successes = 0;
  std::uint32_t successes = 0;  // of the present round
  std::uint64_t current_epoch = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COLD_START_H_
