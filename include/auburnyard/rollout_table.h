#ifndef AUBURNYARD_ROLLOUT_TABLE_H_
#define AUBURNYARD_ROLLOUT_TABLE_H_

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/rollout.h"
#include "auburnyard/version_roles.h"

namespace auburnyard {

/// State of a service's rollout as the store has it. Belongs to the order if
/// its revision is higher than that of the order.
struct RolloutStatus {
  std::string service;
  RolloutState state = RolloutState::kRunning;
  std::string target_version;
  std::uint64_t revision = 0;

  bool operator==(const RolloutStatus&) const = default;
};

struct RolloutStageRecord {
  std::string service;
  std::uint64_t order_revision = 0;
  RolloutStage stage = RolloutStage::kCanary;
  std::uint64_t revision = 0;
};

/// A write that takes effect only while the revisions of the keys are these;
/// 0: the key does not exist.
struct RolloutWrite {
  enum class Kind { kStatus, kStage, kReport };
  Kind kind = Kind::kStatus;
  std::string service;
  std::uint64_t order_revision = 0;
  std::uint64_t status_revision = 0;
  std::uint64_t stage_revision = 0;
  RolloutState state = RolloutState::kRunning;
  std::string target_version;
  RolloutStage stage = RolloutStage::kCanary;
  RolloutReport report;
  /// Hosts whose reports are removed, because the rollout ends.
  std::vector<std::string> obsolete_reporters;
};

/// Something to log: the event, the service and its rollout.
struct RolloutEvent {
  std::string name;
  std::string service;
  std::string target_version;
  RolloutStage stage = RolloutStage::kCanary;
  RolloutCounts counts;
  RolloutVerdict verdict;
  double elapsed_ms = 0;
};

/// Rollouts by service at one host. No I/O: changes of the store come in,
/// conditional writes come out of Poll.
class RolloutTable {
 public:
  struct Hooks {
    /// The use of versions of the service may have changed. May be empty.
    std::function<void(std::string_view service)> on_change;
    std::function<void(const RolloutEvent& event)> on_event;
  };

  RolloutTable(std::string host_name, const HostTable& hosts);

  void SetHooks(Hooks changed) { this->hooks = std::move(changed); }
  /// Without limits, rollouts are disabled: orders have no effect.
  void SetLimits(RolloutLimits changed);
  bool enabled() const { return this->limits.enabled(); }

  void OnOrder(const RolloutOrder& order, TimePoint now);
  /// The order was withdrawn (revision 0), or replaced by one that cannot be
  /// decoded and has this revision.
  void OnWithdrawn(std::string_view service,
                   std::uint64_t revision,
                   TimePoint now);
  void OnStatus(const RolloutStatus& status, TimePoint now);
  void OnStage(const RolloutStageRecord& record, TimePoint now);
  /// The key of the stage was removed.
  void OnStageRemoved(std::string_view service);
  void OnReport(const RolloutReport& report, TimePoint now);
  /// After a snapshot: orders of all other services were withdrawn.
  void RetainOrders(const std::set<std::string, std::less<>>& services,
                    TimePoint now);

  VersionPolicy PolicyOf(std::string_view service) const;
  /// Whether the next request to the service may go to the new version. Counts
  /// it if so. `by_all`: all hosts send requests to the service, and not only
  /// those that fetch parts for others.
  bool TakeExposure(std::string_view service,
                    TimePoint now,
                    bool in_contact,
                    bool by_all);
  void GiveBackExposure(std::string_view service);
  void OnSent(std::string_view service);
  /// Evidence of a request to the service; null without a running rollout.
  KindEvidence* EvidenceOf(std::string_view service, std::string_view kind);
  /// Answers of the service before an order; null without limits.
  VersionEvidence* HistoryOf(std::string_view service, std::string_view kind);

  /// Judges the rollouts and returns the writes that are due. Called every few
  /// tens of milliseconds.
  std::vector<RolloutWrite> Poll(
      TimePoint now,
      const std::function<RolloutTargets(std::string_view service)>& targets);
  /// The store did not answer, so that the write is repeated soon. It may have
  /// been executed; its conditions make that harmless.
  void OnWriteLost(const RolloutWrite& write, TimePoint now);
  /// Number of services by state.
  std::array<std::size_t, 3> CountStates() const;

 private:
  struct Entry {
    std::optional<RolloutOrder> order;
    bool withdrawn = false;
    std::uint64_t withdrawn_revision = 0;  // of the key of the order
    std::optional<Rollout> rollout;        // while it is not decided
    std::optional<RolloutStatus> status;
    std::uint64_t stage_revision = 0;
    std::optional<RolloutStageRecord> stage;
    // What this host would write next, and since when.
    std::string pending;
    TimePoint pending_since{};
    TimePoint next_write{};
    TimePoint next_report{};
    // The hosts before this one did not write in time, or there are none.
    bool deciding = false;
    bool logged_halt = false;
  };

  bool StatusIsCurrent(const Entry& entry) const;
  bool Decided(const Entry& entry) const;
  void Settle(const std::string& service, Entry& entry, TimePoint now);
  void Notify(std::string_view service) const;
  void Log(std::string_view name,
           const Entry& entry,
           const RolloutVerdict& verdict,
           TimePoint now) const;
  std::optional<RolloutWrite> NextWrite(const std::string& service,
                                        Entry& entry,
                                        const RolloutTargets& targets,
                                        TimePoint now);
  RolloutWrite StatusWrite(const Entry& entry, RolloutState state) const;
  bool MayWriteNow(const std::string& service, Entry& entry, TimePoint now);
  /// Time by which this host waits for those before it to write.
  Duration WriteDelay(std::string_view service) const;
  Entry* Running(std::string_view service);
  /// Position among all registered hosts by rank for the service; behind them
  /// if this host is not registered.
  RolloutShare RankAmongAll(std::string_view service) const;

  std::string host_name;
  const HostTable& hosts;
  RolloutLimits limits;
  Hooks hooks;
  std::map<std::string, Entry, std::less<>> entries;  // by service
  TimePoint next_poll{};
  // By service and kind of request.
  std::map<std::string, std::map<std::string, VersionEvidence>> history;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ROLLOUT_TABLE_H_
