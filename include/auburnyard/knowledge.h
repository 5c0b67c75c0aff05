#ifndef AUBURNYARD_KNOWLEDGE_H_
#define AUBURNYARD_KNOWLEDGE_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "auburnyard/clock.h"

namespace auburnyard {

/// A host whose knowledge is older than this is stale.
inline constexpr std::chrono::milliseconds kStaleAfter{3'000};

/// Actions that depend on the age of the configuration.
enum class KnowledgeAction {
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

/// Whether a host with this age of knowledge may act. No age means that no
/// configuration was ever confirmed.
Permission PermissionFor(KnowledgeAction action, std::optional<Duration> age);

/// "Revision `revision` was current `age` ago."
struct KnowledgeReport {
  std::uint64_t revision = 0;
  Duration age{0};
};

/// Age of the configuration in force: the time since some source confirmed its
/// revision. Ages travel as durations, because clocks of hosts are not
/// comparable. Thread-safe.
class Knowledge {
 public:
  /// A higher revision came into force. The age is kept: what was current then
  /// is covered by a later revision.
  void SetRevision(std::uint64_t revision);
  /// The platform's service named `revision` as current, in an answer that was
  /// not produced before `at`.
  void Confirm(std::uint64_t revision, TimePoint at);
  /// A peer reported its knowledge. `asked` is a local time not later than the
  /// sending of the report, so the time that the report spent in queues, also
  /// while this process was paused, counts as age.
  void Learn(const KnowledgeReport& report, TimePoint asked);

  std::uint64_t revision() const;
  /// Highest revision that any source named; higher than `revision()` while the
  /// document is still on its way.
  std::uint64_t newest_revision() const;
  std::optional<Duration> Age(TimePoint now) const;
  bool Stale(TimePoint now) const;
  /// What this host tells its peers. Empty before the first confirmation.
  std::optional<KnowledgeReport> Report(TimePoint now) const;

 private:
  mutable std::mutex mutex;
  std::uint64_t in_force = 0;
  std::uint64_t newest = 0;
  std::optional<TimePoint> confirmed_at;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_KNOWLEDGE_H_
