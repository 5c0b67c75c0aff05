#ifndef AUBURNYARD_ROLLOUT_H_
#define AUBURNYARD_ROLLOUT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/rollout_evidence.h"

namespace auburnyard {

/// Order of an operator to move a service to another version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  std::chrono::milliseconds period{0};
  std::uint64_t revision = 0;  ///< in the store; identifies the order

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState { kRunning, kComplete, kRolledBack };
std::string_view ToString(RolloutState state);

/// What hosts send to the new version. Only rises.
enum class RolloutStage {
  kCanary,  ///< within the exposure limit
  kHalf,    ///< half of the requests
  kFull,    ///< all requests
};
std::string_view ToString(RolloutStage stage);

/// Limits of what a version that is not proved good may receive.
struct RolloutLimits {
  double exposure_share = 0;   ///< of all requests to the service
  double exposure_margin = 0;  ///< requests of all hosts beyond that
  std::chrono::milliseconds rollback_time{0};

  bool enabled() const {
    return this->exposure_share > 0 || this->exposure_margin > 0;
  }
};

/// Requests of one host to a service since the order.
struct RolloutCounts {
  std::uint64_t all = 0;
  std::uint64_t exposed = 0;  ///< to the new version

  bool operator==(const RolloutCounts&) const = default;
};

/// What one host tells the others about a rollout.
struct RolloutReport {
  std::string service;
  std::string host;
  std::uint64_t order_revision = 0;
  std::chrono::milliseconds elapsed{0};  ///< since the order
  RolloutCounts counts;
  RolloutEvidence evidence;
};

/// Position of this host among those that share the exposure margin.
struct RolloutShare {
  std::size_t rank = 0;
  std::size_t hosts = 1;
};

struct RolloutVerdict {
  enum class Kind { kNone, kGood, kBad };
  Kind kind = Kind::kNone;
  std::string reason;
  std::string request_kind;  ///< that shows it; empty: all together
  EvidenceSummary evidence;
};

/// Which targets of the service are registered.
struct RolloutTargets {
  bool has_new = false;
  bool has_old = false;
};

/// One rollout at one host: exposure, evidence and verdict. No I/O.
class Rollout {
 public:
  /// `phase` in [0, 1) spreads rounding errors between the hosts.
  Rollout(RolloutOrder order,
          RolloutLimits limits,
          double phase,
          TimePoint now);

  const RolloutOrder& order() const { return this->rollout_order; }
  TimePoint deadline() const;
  Duration elapsed(TimePoint now) const { return now - this->ordered_at; }

  /// A request to any version was sent.
  void OnSent() { ++this->own_counts.all; }
  /// Whether the next request may go to the new version. Counts it if so.
  bool TakeExposure(const RolloutShare& share, TimePoint now, bool in_contact);
  /// Takes back the count of a request that was not placed.
  void GiveBackExposure() { --this->own_counts.exposed; }
  /// The order was written again for the same version. Evidence and exposure
  /// are kept, and the deadline unless the period differs.
  void Renew(RolloutOrder order, TimePoint now);
  void OnReport(const RolloutReport& report,
                std::string_view own_name,
                TimePoint now);
  RolloutReport MakeReport(std::string_view own_name, TimePoint now) const;
  KindEvidence& OwnEvidence(std::string_view kind);
  /// Whether a report with new evidence is due.
  bool ReportDue(TimePoint now) const;
  void OnReported(TimePoint now);
  /// The last report was not written.
  void OnReportLost();

  RolloutStage stage() const { return this->current_stage; }
  void SetStage(RolloutStage stage, TimePoint now);
  /// Based on the evidence of all hosts. A bad verdict is final.
  RolloutVerdict Judge(TimePoint now, RolloutTargets targets);
  /// Whether the next stage, or after the last one completion, may follow.
  bool MayAdvance(TimePoint now, RolloutTargets targets);
  /// Stage that follows if MayAdvance.
  RolloutStage NextStage(TimePoint now) const;
  bool halted() const { return this->bad.has_value(); }
  const RolloutCounts& counts() const { return this->own_counts; }
  std::vector<std::string> Reporters() const;

 private:
  RolloutEvidence Total() const;
  TimePoint At(double share_of_period) const;
  /// Time at which the last stage follows.
  TimePoint FullAt() const;
  /// Time from the last stage to completion.
  Duration SettleTime() const;
  RolloutVerdict Decide(TimePoint now, RolloutTargets targets) const;

  RolloutOrder rollout_order;
  RolloutLimits limits;
  double phase;
  TimePoint ordered_at;
  RolloutStage current_stage = RolloutStage::kCanary;
  TimePoint stage_since;
  RolloutCounts own_counts;
  std::uint64_t half_counter = 0;
  RolloutEvidence own;
  std::map<std::string, RolloutReport, std::less<>> reports;  // by host
  std::optional<RolloutVerdict> bad;
  std::uint32_t reported_answers = 0;
  std::uint32_t reported_bad = 0;
  TimePoint last_report{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ROLLOUT_H_
