#include "auburnyard/admission_view.h"

#include <algorithm>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kValidity{1'000};
// An expired share rises by a step per interval until nothing is refused.
constexpr milliseconds kRaiseInterval{250};
constexpr double kRaiseStep = 0.1;
// Every share has risen to 1 by then.
constexpr milliseconds kReportExpiry{4'000};
constexpr milliseconds kMinRetryAfter{25};
// Callers wait for at most a third of the time that they have left.
constexpr int kCallerWaitDivisor = 3;

}  // namespace

void AdmissionView::OnReport(std::string_view host,
                             std::span<const AdmissionShare> shares,
                             TimePoint now) {
  std::erase_if(this->reports, [now](const auto& entry) {
    return now - entry.second.received > kReportExpiry;
  });
  const auto found = this->reports.find(host);
  if (shares.empty()) {
    if (found != this->reports.end()) {
      this->reports.erase(found);
    }
    return;
  }
  Report report{{shares.begin(), shares.end()}, now};
  if (found != this->reports.end()) {
    found->second = std::move(report);
  } else {
    this->reports.emplace(host, std::move(report));
  }
}

double AdmissionView::ShareOf(const RequestKind& kind,
                              std::string_view account,
                              TimePoint now) const {
  double lowest = 1;
  for (const auto& [host, report] : this->reports) {
    double share = 1;
    for (const AdmissionShare& entry : report.shares) {
      if (entry.kind != kind) {
        continue;
      }
      if (entry.account.empty()) {
        share = entry.share;
      } else if (entry.account == account) {
        share = entry.share;
        break;
      }
    }
    const Duration expired = now - report.received - kValidity;
    if (expired > Duration::zero()) {
      share += kRaiseStep * static_cast<double>(1 + expired / kRaiseInterval);
    }
    lowest = std::min(lowest, share);
  }
  return lowest;
}

milliseconds AdmissionRetryAfter(double share,
                                 milliseconds objective,
                                 milliseconds caller_time_left,
                                 double point) {
  // With a smaller share, the requests that were refused need longer to fit in.
  const double spread =
      static_cast<double>(objective.count()) * (0.25 + (1 - share) / 2);
  const milliseconds delay =
      kMinRetryAfter + milliseconds(static_cast<std::int64_t>(spread * point));
  return std::max(std::min(delay, caller_time_left / kCallerWaitDivisor),
                  milliseconds(1));
}

}  // namespace auburnyard
