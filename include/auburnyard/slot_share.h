#ifndef AUBURNYARD_SLOT_SHARE_H_
#define AUBURNYARD_SLOT_SHARE_H_

#include <cstdint>
#include <string_view>

namespace auburnyard {

enum class ShareKind { kFull, kPartial, kNone };

/// Reason for the share of a target that a host may use.
enum class ShareReason {
  kAllGranted,      ///< all other members acknowledged the view
  kGrantMissing,    ///< a member did not acknowledge the view recently
  kViewChanging,    ///< an earlier view with another owner is still valid
  kHandover,        ///< another host still has requests at the target
  kNotOwner,        ///< another host owns the target
  kNotAdmitted,     ///< the group has not yet acknowledged this process
  kPaused,          ///< the process was stopped for too long
  kOutsideOfGroup,  ///< the target belongs to another ownership group
};

std::string_view ToString(ShareReason reason);

/// Share of a target's limit that this host may use.
struct SlotShare {
  std::uint32_t slots = 0;
  ShareKind kind = ShareKind::kNone;
  ShareReason reason = ShareReason::kNotAdmitted;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SLOT_SHARE_H_
