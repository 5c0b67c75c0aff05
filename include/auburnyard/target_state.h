#ifndef AUBURNYARD_TARGET_STATE_H_
#define AUBURNYARD_TARGET_STATE_H_

#include <memory>
#include <optional>
#include <vector>

#include "auburnyard/latency_estimate.h"
#include "auburnyard/load_report.h"
#include "auburnyard/target_entry.h"
#include "auburnyard/target_speed.h"
#include "auburnyard/work_estimate.h"

namespace auburnyard {

/// How far a target is from this host.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };

/// What the wait of a request at a target depends on.
struct TargetLoad {
  double rounds = 0;    ///< requests ahead per slot
  double slowness = 1;  ///< time that work takes, as a multiple of the usual
  Duration round_trip{};

  /// Order in which targets are expected to answer.
  double Rank() const { return this->slowness * (1 + this->rounds); }
};

/// Registration and observations of one target at one host. Failure detection
/// relies on the outcomes of requests and not on the health that the target
/// reports.
class TargetState {
 public:
  TargetState(TargetEntry registered, Distance from_here);

  const TargetEntry& entry() const { return this->registration; }
  /// Replaces the registration with an update for the same start of the target.
  void SetEntry(TargetEntry changed) {
    this->registration = std::move(changed);
  }
  Distance distance() const { return this->location; }
  const LatencyEstimate& latency() const { return this->latency_estimate; }
  /// Network round-trip time; at most the minimum latency observed.
  Duration RoundTrip() const;
  std::size_t in_flight() const { return this->sent_requests.size(); }
  const TargetSpeed& speed() const { return this->reported_speed; }

  /// A connection was established, which takes at least one round trip.
  void OnConnected(Duration took);
  void OnSent(TimePoint now, const WorkEstimate* work = nullptr);
  /// An exchange that was sent at `sent_at` ended with a complete reply.
  /// `work` learns from it.
  void OnReply(TimePoint sent_at, TimePoint now, WorkEstimate* work = nullptr);
  /// The target refused a request without running it.
  void OnRefused(TimePoint sent_at, TimePoint now);
  /// An exchange ended without a usable reply, or with a failure.
  void OnFailed(TimePoint sent_at, TimePoint now);
  /// No connection could be made.
  void OnUnreachable(TimePoint now);
  /// An exchange ended for a reason unrelated to the target.
  void OnAbandoned(TimePoint sent_at);
  /// The same; the reply would have come later than `now`.
  void OnAbandoned(TimePoint sent_at, TimePoint now, const WorkEstimate* work);
  /// Sets how many requests of this host wait for one of its `limit`
  /// connections to the target.
  void SetWaiting(std::size_t count, std::size_t limit) {
    this->waiting = count;
    this->connection_limit = limit;
  }
  void OnLoad(const LoadReport& report, TimePoint now);
  void SetColdUntil(TimePoint until) { this->cold_until_time = until; }
  TimePoint cold_until() const { return this->cold_until_time; }
  /// The target announced that it leaves. Not taken back.
  void SetLeaving() { this->is_leaving = true; }
  bool leaving() const { return this->is_leaving; }
  bool Cold(TimePoint now) const { return now < this->cold_until_time; }

  /// Expected time to the reply for a request sent now. `work` is the estimate
  /// for its kind, null if the kind is not distinguished.
  Duration Expected(TimePoint now, const WorkEstimate* work = nullptr) const;
  /// Time after which a reply is later than usual.
  Duration Upper(TimePoint now, const WorkEstimate* work = nullptr) const;
  /// Expected time to the reply with the present queue or stall.
  Duration Delay(TimePoint now, const WorkEstimate* work = nullptr) const;
  /// Whether the last load report contains the speed of the target.
  bool ReportsSpeed() const { return this->load && this->load->speed_percent; }
  /// Queue and speed by the last load report, or by the requests of this host
  /// if there is no recent one.
  TargetLoad Load(TimePoint now) const;
  /// Delay, plus penalties for conditions that make a reply unlikely.
  Duration Cost(TimePoint now, const WorkEstimate* work = nullptr) const;
  /// Whether the target is excluded after failures.
  bool Avoided(TimePoint now) const { return now < this->avoid_until; }
  /// Whether a request in flight has waited much longer than usual.
  bool Stalled(TimePoint now) const;
  /// Whether no request in flight was sent earlier.
  bool IsOldest(TimePoint sent_at) const;

 private:
  struct SentRequest {
    TimePoint sent_at{};
    TimePoint expected_at{};
    TimePoint late_at{};  // a reply is later than usual from now on
  };

  double Slowdown(TimePoint now) const;
  /// Present speed as a factor on the learned one.
  double SpeedChange(TimePoint now) const;
  void AddSlowdown(Duration latency, TimePoint now, const WorkEstimate& work);
  /// Time by which the oldest reply is overdue.
  Duration Overdue(TimePoint now) const;
  /// Expected time until a connection of this host is free.
  Duration ConnectionWait(TimePoint now) const;
  void Remove(TimePoint sent_at);
  void CountOutcome(bool failed, TimePoint now);
  double FailureShare(TimePoint now) const;

  TargetEntry registration;
  Distance location;
  LatencyEstimate latency_estimate;
  Duration min_connect_time = Duration::max();
  std::vector<SentRequest> sent_requests;  // in flight
  TargetSpeed reported_speed;
  // Time at the target as a multiple of what is usual for the kind of request
  // and the reported speed.
  double slowdown = 1;
  TimePoint slowdown_updated{};
  std::size_t waiting = 0;
  std::size_t connection_limit = 0;  // 0: not known
  std::optional<LoadReport> load;
  TimePoint load_reported_at{};
  TimePoint cold_until_time{};
  bool is_leaving = false;
  TimePoint avoid_until{};
  double failure_share = 0;
  TimePoint last_outcome_at{};
  std::uint32_t consecutive_failures = 0;
};

using TargetPtr = std::shared_ptr<TargetState>;

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_STATE_H_
