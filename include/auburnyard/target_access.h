#ifndef AUBURNYARD_TARGET_ACCESS_H_
#define AUBURNYARD_TARGET_ACCESS_H_

#include <cstdint>
#include <string_view>

namespace auburnyard {

/// Whether new requests may be sent to a target now, and if not, why.
enum class TargetAccess : std::uint8_t {
  kAllowed,
  kDraining,     ///< by its registration
  kLeaving,      ///< by its own announcement
  kEvacuated,    ///< its failure domain is taken out of use
  kHeldBack,     ///< its version is not in use
  kOtherRegion,  ///< the request must not leave other regions
};

std::string_view ToString(TargetAccess access);

/// What the access to a target depends on.
struct TargetAccessFacts {
  bool draining = false;
  bool leaving = false;
  bool domain_evacuated = false;
  bool version_in_use = true;
  bool region_allowed = true;
};

/// The only decision on whether a new request may be sent: for first attempts,
/// repeats, bundles, connections opened in advance and requests that wait.
TargetAccess DecideAccess(const TargetAccessFacts& facts);

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_ACCESS_H_
