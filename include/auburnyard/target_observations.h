#ifndef AUBURNYARD_TARGET_OBSERVATIONS_H_
#define AUBURNYARD_TARGET_OBSERVATIONS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "auburnyard/clock.h"

namespace auburnyard {

/// State of one target as observed by this entry host and as reported by
/// others. Reports are delayed; the host's own observations are not.
struct TargetView {
  std::string domain;
  bool usable = true;  ///< false: domain disabled, target leaving or draining
  std::uint32_t slots = 1;
  std::uint32_t outstanding = 0;    ///< own attempts that have not ended
  std::uint32_t reported_load = 0;  ///< as the target last reported
  std::uint32_t queue_depth = 0;    ///< as the owner last reported
  std::optional<Duration> delay;    ///< smoothed, from dispatch to result
  TimePoint delay_observed_at;      ///< time of the last observed delay
  std::optional<TimePoint> last_failure_at;  ///< time of the last failure
};

/// Observations of all targets and measured network delays to the failure
/// domains. Thread safe.
class TargetObservations {
 public:
  void SetTarget(std::string_view target,
                 std::string_view domain,
                 std::uint32_t slots,
                 bool usable);
  void Remove(std::string_view target);
  /// Sets the measured round-trip time to the entry hosts of a domain; zero or
  /// unset for this host's domain.
  void SetDomainDelay(std::string_view domain, Duration round_trip);

  void OnStart(std::string_view target);
  /// `delay` is the time from dispatch to result, without queueing and network
  /// delay.
  void OnResult(std::string_view target, Duration delay, TimePoint now);
  /// The attempt ended without a result and without a failure of the target,
  /// for example because it was cancelled or rejected before dispatch.
  void OnEnd(std::string_view target);
  void OnFailure(std::string_view target, TimePoint now);
  void OnLoadReport(std::string_view target, std::uint32_t load);
  void OnQueueReport(std::string_view target, std::uint32_t depth);

  /// Returns a default view for an unknown target.
  TargetView Get(std::string_view target) const;
  Duration DomainDelay(std::string_view domain) const;

 private:
  template <typename Change>
  void Update(std::string_view target, Change change);

  mutable std::mutex mutex;
  std::map<std::string, TargetView, std::less<>> targets;
  std::map<std::string, Duration, std::less<>> domain_delays;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_OBSERVATIONS_H_
