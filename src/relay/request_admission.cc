#include "src/relay/request_admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kChangeLinesPerSecond = 5;
// Decimal places of shares in log lines.
constexpr double kShareScale = 1'000;

RequestKind KindOf(const RelayJob& job) {
  return {.objective = job.route->latency_objective,
          .records = job.route->top_records,
          .priority = job.priority};
}

}  // namespace

RequestAdmission::RequestAdmission(const RelayContext& relay_context,
                                   const TargetTable& target_table,
                                   RelayMetrics& relay_metrics)
    : context(relay_context),
      targets(target_table),
      metrics(relay_metrics),
      control([this](const RequestKind& kind, double share) {
        this->OnChange(kind, share);
      }),
      change_lines(kChangeLinesPerSecond) {}

void RequestAdmission::OnChange(const RequestKind& kind, double share) {
  this->metrics.SetAdmittedShare(kind, share);
  std::uint64_t omitted = 0;
  if (share >= 1 ||
      this->change_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::info, "admission_changed",
             {{"objective_ms", kind.objective.count()},
              {"records", kind.records},
              {"priority", kind.priority},
              {"share", std::round(share * kShareScale) / kShareScale},
              {"omitted", omitted}});
  }
}

std::optional<milliseconds> RequestAdmission::FindRefusal(
    RelayJob& job,
    const WorkEstimate& work,
    std::size_t missing,
    bool reaches_targets) {
  if (!this->enabled() || !job.route->fans_out()) {
    return std::nullopt;
  }
  const RequestKind kind = KindOf(job);
  const TimePoint now = this->context.clock.Now();
  const double share =
      std::min(this->view.ShareOf(kind, job.request.account, now),
               this->control.ShareOf(kind, job.request.account, now));
  std::uniform_real_distribution<double> point(0, 1);
  const bool starts =
      (share >= 1 || point(this->random) < share) &&
      (!reaches_targets || this->ConsiderLoad(job, work, missing));
  if (starts) {
    return std::nullopt;
  }
  return this->RetryAfter(job, share);
}

bool RequestAdmission::MayStartBundle(RelayJob& job, const WorkEstimate& work) {
  const std::optional<BundleRequest>& bundle = job.request.bundle;
  if (!this->enabled() || !bundle || !bundle->refusable_missing_parts) {
    return true;
  }
  return this->ConsiderLoad(job, work, *bundle->refusable_missing_parts);
}

bool RequestAdmission::ConsiderLoad(RelayJob& job,
                                    const WorkEstimate& work,
                                    std::size_t missing) {
  const std::vector<std::string>& shards = job.route->shards;
  const bool active = this->mode == AdmissionMode::kAlways ||
                      std::any_of(shards.begin(), shards.end(),
                                  [this](const std::string& shard) {
                                    return this->targets.ReportsSpeed(shard);
                                  });
  if (!active || !work.known()) {
    return true;
  }
  job.counts_for_admission = true;
  std::vector<TargetLoad> loads;
  loads.reserve(shards.size());
  for (const std::string& shard : shards) {
    if (const auto load = this->targets.BestLoad(shard)) {
      loads.push_back(*load);
    }
  }
  return this->control.OnRequest(KindOf(job), job.request.account,
                                 {loads, missing, work.Usual()},
                                 this->context.clock.Now());
}

milliseconds RequestAdmission::RetryAfter(const RelayJob& job, double share) {
  std::uniform_real_distribution<double> point(0, 1);
  return AdmissionRetryAfter(share, job.route->latency_objective,
                             std::chrono::duration_cast<milliseconds>(
                                 job.deadline - this->context.clock.Now()),
                             point(this->random));
}

void RequestAdmission::OnEnd(const RelayJob& job, bool in_time) {
  if (job.counts_for_admission) {
    this->control.OnOutcome(KindOf(job), in_time);
  }
}

void RequestAdmission::OnReport(std::string_view host,
                                std::span<const AdmissionShare> shares) {
  if (this->mode != AdmissionMode::kNever) {
    this->view.OnReport(host, shares, this->context.clock.Now());
  }
}

std::string RequestAdmission::EncodeShares(bool refused) const {
  return this->context.codec.encode_admission(
      this->control.Shares(this->context.clock.Now()), refused);
}

bool RequestAdmission::RepliesTooLate(const RelayJob& job,
                                      const TargetState& target,
                                      const WorkEstimate& work) const {
  if (!job.counts_for_admission || !work.known()) {
    return false;
  }
  const TimePoint now = this->context.clock.Now();
  const TargetLoad load = target.Load(now);
  const auto at_target = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(work.Usual()) * load.Rank());
  return now + load.round_trip + at_target > job.deadline;
}

}  // namespace auburnyard
