#ifndef AUBURNYARD_VERSION_ROLES_H_
#define AUBURNYARD_VERSION_ROLES_H_

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace auburnyard {

/// Which versions of a service get requests.
enum class VersionUse {
  kAlike,    ///< all versions
  kOldOnly,  ///< not the target version, nor versions that no order names
  kCanary,   ///< the target version within its exposure
  kNewOnly,  ///< the target version
};

struct VersionPolicy {
  VersionUse use = VersionUse::kAlike;
  std::string target_version;  ///< empty: no order
};

/// Version of one registered target.
struct TargetVersion {
  std::string_view version;
  std::int64_t started_at_ms = 0;  ///< 0: unknown
  bool draining = false;
};

enum class VersionRole {
  kOld,
  kNew,
  kHeldBack,  ///< no order names it
};

/// Roles of the versions of one service, derived only from the policy and the
/// registrations, so that all hosts with the same view agree.
class VersionRoles {
 public:
  VersionRoles() = default;
  VersionRoles(VersionPolicy policy, std::span<const TargetVersion> targets);

  VersionUse use() const { return this->policy.use; }
  VersionRole RoleOf(std::string_view version) const;
  /// Whether targets of the version may get requests at all.
  bool MayReceive(std::string_view version) const;
  bool has_new() const { return this->new_registered; }
  bool has_old() const { return this->old_registered; }

 private:
  VersionPolicy policy;
  std::set<std::string, std::less<>> old_versions;
  bool new_registered = false;
  bool old_registered = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_VERSION_ROLES_H_
