#ifndef AUBURNYARD_REPORT_ORDER_H_
#define AUBURNYARD_REPORT_ORDER_H_

#include <map>

#include "auburnyard/clock.h"
#include "auburnyard/target_entry.h"

namespace auburnyard {

/// What a report of a target is to the one that is known of it.
enum class ReportKind {
  kOutdated,  ///< written earlier
  kUpdate,    ///< of the same start
  kRestart,   ///< of a later start
};

/// Orders the reports of targets by the store's writes. The times in reports
/// are compared for equality only, because the clocks of targets may step.
class ReportOrder {
 public:
  ReportKind Classify(const TargetEntry& known,
                      const TargetEntry& reported) const;
  /// `current` has taken the place of `previous`.
  void OnRestart(const TargetIncarnation& previous,
                 const TargetIncarnation& current,
                 TimePoint now);
  /// Forgets incarnations that were replaced long ago.
  void Expire(TimePoint now);
  std::size_t replaced() const { return this->forget_at.size(); }

 private:
  std::map<TargetIncarnation, TimePoint> forget_at;  // replaced incarnations
};

}  // namespace auburnyard

#endif  // AUBURNYARD_REPORT_ORDER_H_
