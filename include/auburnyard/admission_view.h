#ifndef AUBURNYARD_ADMISSION_VIEW_H_
#define AUBURNYARD_ADMISSION_VIEW_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/admission_control.h"

namespace auburnyard {

/// Admitted shares that a host received from the hosts that fetch parts for it.
/// The lowest share counts. A share that is not received again expires.
class AdmissionView {
 public:
  /// Replaces what the host reported before.
  void OnReport(std::string_view host,
                std::span<const AdmissionShare> shares,
                TimePoint now);
  /// Share of the account's requests of the kind that may start.
  double ShareOf(const RequestKind& kind,
                 std::string_view account,
                 TimePoint now) const;

 private:
  struct Report {
    std::vector<AdmissionShare> shares;
    TimePoint received{};
  };

  std::map<std::string, Report, std::less<>> reports;  // by host
};

/// Time after which a refused request may be repeated, for a random number
/// `point` from 0 to 1. Spreads the repeats over the time in which capacity is
/// expected and leaves time for an answer within or soon after the objective.
std::chrono::milliseconds AdmissionRetryAfter(
    double share,
    std::chrono::milliseconds objective,
    std::chrono::milliseconds caller_time_left,
    double point);

}  // namespace auburnyard

#endif  // AUBURNYARD_ADMISSION_VIEW_H_
