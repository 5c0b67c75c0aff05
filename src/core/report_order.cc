#include "auburnyard/report_order.h"

#include <utility>

namespace auburnyard {

namespace {

// A restored store may bring back what its copy held, some minutes later.
constexpr std::chrono::minutes kRetention{10};

bool IsSameStart(const TargetEntry& known, const TargetEntry& reported) {
  return known.Incarnation() == reported.Incarnation() &&
         known.service == reported.service;
}

// A registration that lapsed may be written again as it was.
bool IsWrittenAgain(TargetEntry known, const TargetEntry& reported) {
  known.store_epoch = reported.store_epoch;
  known.store_revision = reported.store_revision;
  return known == reported;
}

}  // namespace

// Within an epoch the revision decides. A higher epoch begins with an older
// copy of the store, whose reports have the revisions of the epoch before. They
// are told from new ones by their sequence, or because another start of the
// target has replaced theirs.
ReportKind ReportOrder::Classify(const TargetEntry& known,
                                 const TargetEntry& reported) const {
  const bool same_start = IsSameStart(known, reported);
  if (reported.store_epoch < known.store_epoch) {
    return ReportKind::kOutdated;
  }
  if (reported.store_epoch > known.store_epoch) {
    if (same_start) {
      return reported.sequence < known.sequence ? ReportKind::kOutdated
                                                : ReportKind::kUpdate;
    }
    return this->forget_at.contains(reported.Incarnation())
               ? ReportKind::kOutdated
               : ReportKind::kRestart;
  }
  if (reported.store_revision < known.store_revision) {
    return ReportKind::kOutdated;
  }
  // Two starts may have the same time. The sequence begins anew with each.
  const bool follows =
      reported.sequence > known.sequence || IsWrittenAgain(known, reported);
  return same_start && follows ? ReportKind::kUpdate : ReportKind::kRestart;
}

void ReportOrder::OnRestart(const TargetIncarnation& previous,
                            const TargetIncarnation& current,
                            TimePoint now) {
  this->forget_at[previous] = now + kRetention;
  this->forget_at.erase(current);
}

void ReportOrder::Expire(TimePoint now) {
  std::erase_if(this->forget_at,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace auburnyard
