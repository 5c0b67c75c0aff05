#ifndef AUBURNYARD_ADMISSION_CONTROL_H_
#define AUBURNYARD_ADMISSION_CONTROL_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/fair_share.h"
#include "auburnyard/target_state.h"

namespace auburnyard {

/// Requests that are admitted alike.
struct RequestKind {
  std::chrono::milliseconds objective{0};
  std::uint32_t records = 0;
  std::uint32_t priority = 0;  ///< 0 is the highest

  auto operator<=>(const RequestKind&) const = default;
};

/// Share of the requests of a kind that may start.
struct AdmissionShare {
  RequestKind kind;
  std::string account;  ///< empty: all accounts that are not named
  double share = 1;

  bool operator==(const AdmissionShare&) const = default;
};

/// Determines, at a host that reaches targets, which share of the requests of
/// each kind can be answered in time. Answers overload: the share of the least
/// urgent priority falls multiplicatively while the expected delay of the
/// shards that an answer needs approaches the objective, and rises additively
/// afterwards. Never zero, so that recovery is detected.
class AdmissionControl {
 public:
  /// Called with the share of a kind after each change.
  using ChangeHook = std::function<void(const RequestKind&, double share)>;

  explicit AdmissionControl(ChangeHook on_change = nullptr);

  /// What a request needs of its shards.
  struct Needs {
    /// Load of the best target of each shard.
    std::span<const TargetLoad> shards;
    std::size_t allowed_missing = 0;  ///< in the answer
    Duration work{};                  ///< usual time of a part at a target
  };

  /// A request arrived that was admitted by the present shares. Returns false
  /// if it should not be started nevertheless, because it would be late or make
  /// more urgent ones late.
  bool OnRequest(const RequestKind& kind,
                 std::string_view account,
                 const Needs& needs,
                 TimePoint now);
  /// A request ended with (or without) enough parts within its objective.
  void OnOutcome(const RequestKind& kind, bool in_time);
  /// Share of the account's requests that may start.
  double ShareOf(const RequestKind& kind,
                 std::string_view account,
                 TimePoint now) const;
  /// Shares of the kinds that are limited or were until recently.
  std::vector<AdmissionShare> Shares(TimePoint now) const;

 private:
  struct Kind {
    double share = 1;
    FairShare accounts;
    TimePoint last_request{};
    TimePoint last_limited{};
    // Since the last step:
    std::size_t requests = 0;
    std::size_t outcomes = 0;
    std::size_t late = 0;
    double pressure = 0;  // sum of delays as shares of the objective
    Duration work{};
    bool was_overloaded = false;  // in the last step with requests
    double allowed_missing = 0;   // share of the shards
  };

  enum class Trend { kOverloaded, kSteady, kFree };
  static Trend TrendOf(const Kind& kind);
  /// Expected delay of a request of the kind, as a share of its objective.
  double PressureOn(const RequestKind& id,
                    const Kind& kind,
                    std::span<const TargetLoad> shards) const;
  void Step(TimePoint now);
  void Decrease(std::uint32_t priority, TimePoint now);
  void Increase();
  void SetShare(const RequestKind& id, Kind& kind, double share);

  std::map<RequestKind, Kind> kinds;
  ChangeHook on_change;
  Duration mean_work{};  // over all kinds
  TimePoint next_step{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ADMISSION_CONTROL_H_
