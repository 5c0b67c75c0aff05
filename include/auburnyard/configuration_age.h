#ifndef AUBURNYARD_CONFIGURATION_AGE_H_
#define AUBURNYARD_CONFIGURATION_AGE_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Age of the configuration above which a host is stale.
inline constexpr std::chrono::milliseconds kStaleAfter{3'000};

/// Actions that depend on the age of the configuration.
enum class AgeDependentAction {
  kOwnDomainTarget,     ///< new work to a target of the own domain
  kRemoteOwner,         ///< sub-request to an owner in another domain
  kRemoteTargetDirect,  ///< fallback work to a target of another domain
  kNonIdempotent,
  kConfirmPlan,
};

enum class Permission {
  kAllowed,
  kAllowedIfClaimed,  ///< only if the claim write succeeds
  kRefused,
};

/// Whether a host whose configuration has this age may perform the action. No
/// age means that no configuration was ever confirmed.
Permission PermissionFor(AgeDependentAction action,
                         std::optional<Duration> age);

/// States that `revision` was the current one `age` ago.
struct ConfigurationAgeReport {
  std::uint64_t revision = 0;
  Duration age{0};
};

/// Age of the configuration in force: the time since its revision was last
/// confirmed as current by the platform's service, directly or through a peer.
/// Hosts exchange ages as durations, because their clocks are not comparable.
/// Thread-safe.
class ConfigurationAge {
 public:
  /// A higher revision came into force. The age does not change: a confirmation
  /// of an earlier revision holds for a later one too.
  void SetRevision(std::uint64_t revision);
  /// The platform's service reported `revision` as current, in a reply that was
  /// not produced before `at`.
  void Confirm(std::uint64_t revision, TimePoint at);
  /// A peer reported the age of its configuration. `requested_at` is a local
  /// time not later than the sending of the report, so the time that the report
  /// spent in queues, also while this process was paused, counts as age.
  void ApplyReport(const ConfigurationAgeReport& report,
                   TimePoint requested_at);

  std::uint64_t revision() const;
  /// Highest revision that any source reported; higher than `revision()` until
  /// the document is received.
  std::uint64_t newest_revision() const;
  std::optional<Duration> Age(TimePoint now) const;
  bool Stale(TimePoint now) const;
  /// Report for peers. Empty before the first confirmation.
  std::optional<ConfigurationAgeReport> Report(TimePoint now) const;

 private:
  mutable std::mutex mutex;
  std::uint64_t in_force = 0;
  std::uint64_t newest = 0;
  std::optional<TimePoint> confirmed_at;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_CONFIGURATION_AGE_H_
