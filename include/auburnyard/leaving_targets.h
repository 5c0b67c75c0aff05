#ifndef AUBURNYARD_LEAVING_TARGETS_H_
#define AUBURNYARD_LEAVING_TARGETS_H_

#include <map>

#include "auburnyard/clock.h"
#include "auburnyard/target_entry.h"

namespace auburnyard {

/// Incarnations of targets that announced that they leave. An announcement
/// holds for the whole incarnation, also if its registration lapses and
/// returns.
class LeavingTargets {
 public:
  /// Returns false if the announcement was known.
  bool Add(TargetIncarnation incarnation, TimePoint now);
  bool Contains(const TargetIncarnation& incarnation) const;
  /// The incarnation is registered again.
  void Retain(const TargetIncarnation& incarnation);
  /// Another start of the target has the same identifier, time and address.
  void Forget(const TargetIncarnation& incarnation) {
    this->forget_at.erase(incarnation);
  }
  /// The registration of the incarnation is gone.
  void Release(const TargetIncarnation& incarnation, TimePoint now);
  /// Forgets incarnations whose registration has been gone for long.
  void Expire(TimePoint now);
  bool empty() const { return this->forget_at.empty(); }
  std::size_t size() const { return this->forget_at.size(); }

 private:
  std::map<TargetIncarnation, TimePoint> forget_at;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_LEAVING_TARGETS_H_
