#ifndef AUBURNYARD_SLOT_SHARE_H_
#define AUBURNYARD_SLOT_SHARE_H_

#include <cstdint>
#include <string_view>

namespace auburnyard {

enum class ShareKind { kWhole, kShare, kNone };

/// Why a host may use this much of a target.
enum class ShareReason {
  kAllGranted,      ///< every other member acknowledged the view
  kGrantMissing,    ///< a member has not acknowledged the view lately
  kViewChanging,    ///< an earlier view that names another owner still binds
  kHandover,        ///< another host still has work running at the target
  kNotOwner,        ///< another host owns the target
  kNotAdmitted,     ///< the group has not acknowledged this process yet
  kPaused,          ///< the process was stopped for too long
  kOutsideOfGroup,  ///< the target belongs to another ownership group
};

std::string_view ToString(ShareReason reason);

/// What this host may use of a target's limit.
struct SlotShare {
  std::uint32_t slots = 0;
  ShareKind kind = ShareKind::kNone;
  ShareReason reason = ShareReason::kNotAdmitted;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SLOT_SHARE_H_
