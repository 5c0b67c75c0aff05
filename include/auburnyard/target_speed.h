#ifndef AUBURNYARD_TARGET_SPEED_H_
#define AUBURNYARD_TARGET_SPEED_H_

#include <cstdint>

#include "auburnyard/clock.h"

namespace auburnyard {

/// How long work takes at a target compared with what is usual, from the
/// figures that it reports. Answers targets of unequal speed and targets that
/// are slow for a few hundred milliseconds at a time.
class TargetSpeed {
 public:
  /// `percent`: time that work took, 100 meaning as usual.
  void Add(std::uint32_t percent, TimePoint now);
  /// Whether the target has reported a figure.
  bool known() const { return this->count > 0; }
  /// Learned factor on the usual time, 1 if not known.
  double Base() const { return this->base; }
  /// Expected factor on the usual time: the last figure, and the learned one as
  /// that becomes older.
  double At(TimePoint now) const;

 private:
  double base = 1;
  double last = 1;
  std::uint32_t count = 0;  // of figures, up to the averaging length
  TimePoint updated{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_SPEED_H_
