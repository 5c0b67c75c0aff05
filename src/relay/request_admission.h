#ifndef AUBURNYARD_SRC_RELAY_REQUEST_ADMISSION_H_
#define AUBURNYARD_SRC_RELAY_REQUEST_ADMISSION_H_

#include <chrono>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "auburnyard/admission_control.h"
#include "auburnyard/admission_view.h"
#include "src/relay/log_limiter.h"
#include "src/relay/relay_job.h"
#include "src/relay/relay_metrics.h"
#include "src/relay/relay_settings.h"
#include "src/relay/target_table.h"

namespace auburnyard {

/// Refuses requests that fan out and cannot be answered in time, before any
/// part of them is sent. A host that reaches targets decides by their load and
/// tells the others; a host that has parts fetched decides by what it was told.
class RequestAdmission {
 public:
  RequestAdmission(const RelayContext& context,
                   const TargetTable& targets,
                   RelayMetrics& metrics);

  void SetMode(AdmissionMode changed) { this->mode = changed; }
  bool enabled() const { return this->mode != AdmissionMode::kNever; }
  /// Decides on a caller's request. `reaches_targets`: this host fetches parts
  /// itself. Returns the time after which a refused one may be repeated.
  std::optional<std::chrono::milliseconds> FindRefusal(RelayJob& job,
                                                       const WorkEstimate& work,
                                                       std::size_t missing,
                                                       bool reaches_targets);
  /// Decides on a bundle that another host asks for.
  bool MayStartBundle(RelayJob& job, const WorkEstimate& work);
  /// Time after which a request that another host refused may be repeated.
  std::chrono::milliseconds RetryAfter(const RelayJob& job, double share);
  /// A job that was decided on by target load has ended.
  void OnEnd(const RelayJob& job, bool in_time);
  /// Another host reported the shares that it can answer.
  void OnReport(std::string_view host, std::span<const AdmissionShare> shares);
  /// Header for an answer to another host; empty without limits.
  std::string EncodeShares(bool refused) const;
  /// Whether a part that is sent to the target now is answered too late.
  bool RepliesTooLate(const RelayJob& job,
                      const TargetState& target,
                      const WorkEstimate& work) const;

 private:
  bool ConsiderLoad(RelayJob& job,
                    const WorkEstimate& work,
                    std::size_t missing);
  void OnChange(const RequestKind& kind, double share);

  const RelayContext& context;
  const TargetTable& targets;
  RelayMetrics& metrics;
  AdmissionMode mode = AdmissionMode::kAutomatic;
  AdmissionControl control;
  AdmissionView view;
  LogLimiter change_lines;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_REQUEST_ADMISSION_H_
