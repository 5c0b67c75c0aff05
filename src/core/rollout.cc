#include "auburnyard/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Shares of the limits that are used. The rest covers rounding at many hosts
// and requests that are chosen before a verdict arrives.
constexpr double kUsedShare = 0.8;
constexpr double kUsedMargin = 0.6;
// Share of the period over which the margin becomes available, so that a
// version that is bad at once does not get all of it before the first answers.
constexpr double kMarginRamp = 0.2;
// Share of the period after which a good version is complete. The rest is for
// repeated writes.
constexpr double kCompleteAt = 0.85;
// Time for the last stage to be written and to arrive at all hosts.
constexpr milliseconds kStageDelivery{500};
// Time with half of the requests, as a share of the period. With it, the
// exposure reaches the limit about when the last stage begins. Until then it
// stays within the limit, so that badness that starts late is found in time.
constexpr double kHalfShare = 0.12;
// From this share of the period on, services with few answers are compared with
// the time before the order. Earlier, their exposure is within the limit, and a
// common cause that began with the order would be attributed to the version.
constexpr double kUseBeforeAt = 0.4;
constexpr std::uint32_t kEnoughOldAnswers = 30;
// With little evidence or a doubtful result the decision is made at this share
// of the period.
constexpr double kDecideAt = 0.55;
// Without enough evidence the version is rolled back at this share, so that the
// status is written before the deadline.
constexpr double kGiveUpAt = 0.9;
// Time for the last stage to arrive at all hosts and for the requests at the
// old targets to end, as a share of the period with bounds.
constexpr double kSettleShare = 0.2;
constexpr milliseconds kMinSettle{1'500};
constexpr milliseconds kMaxSettle{3'000};
// Below it a bad verdict follows. The evidence is tested about ten times per
// second and in total and for each kind, which multiplies false alarms.
constexpr double kBadProbability = 0.000'2;
constexpr std::uint32_t kMinBadAnswers = 4;
// Above it there is no doubt about the version.
constexpr double kGoodProbability = 0.03;
// Below it a doubtful version is rejected when time runs out.
constexpr double kRejectProbability = 0.003;
// Answers without which a version is not proved good: 30% of bad answers show
// at least one with a probability of 0.97.
constexpr std::uint32_t kMinAnswers = 10;
// Fewer suffice at a service with little traffic when time runs out.
constexpr std::uint32_t kMinAnswersLate = 4;
// The same with few answers, where bad versions are less distinct.
constexpr double kRejectProbabilityFew = 0.02;
constexpr std::uint32_t kFewAnswers = 25;
// Time by which a doubt delays the last stage, as a share of the period.
constexpr double kDoubtShare = 0.07;
// Bad answers more than the old version at which a doubtful one is rejected.
constexpr double kTolerableExcess = 0.08;
// Writes to the store are expensive; bad answers are reported sooner.
constexpr milliseconds kReportInterval{2'000};
constexpr milliseconds kBadReportInterval{800};

}  // namespace

std::string_view ToString(RolloutState state) {
  switch (state) {
    case RolloutState::kComplete:
      return "complete";
    case RolloutState::kRolledBack:
      return "rolled_back";
    case RolloutState::kRunning:
      break;
  }
  return "running";
}

std::string_view ToString(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kHalf:
      return "half";
    case RolloutStage::kFull:
      return "full";
    case RolloutStage::kCanary:
      break;
  }
  return "canary";
}

Rollout::Rollout(RolloutOrder new_order,
                 RolloutLimits exposure_limits,
                 double host_phase,
                 TimePoint now)
    : rollout_order(std::move(new_order)),
      limits(exposure_limits),
      phase(host_phase),
      ordered_at(now),
      stage_since(now) {
  // An order without a period must not cause any exposure.
  this->Judge(now, {});
}

TimePoint Rollout::deadline() const {
  return this->ordered_at + this->rollout_order.period;
}

TimePoint Rollout::At(double share_of_period) const {
  return this->ordered_at +
         milliseconds(static_cast<std::int64_t>(
             static_cast<double>(this->rollout_order.period.count()) *
             share_of_period));
}

bool Rollout::TakeExposure(const RolloutShare& share,
                           TimePoint now,
                           bool in_contact) {
  if (this->halted()) {
    return false;
  }
  if (this->current_stage == RolloutStage::kFull) {
    ++this->own_counts.exposed;
    return true;
  }
  if (!in_contact) {
    return false;
  }
  if (this->current_stage == RolloutStage::kHalf) {
    const bool taken = ++this->half_counter % 2 == 0;
    this->own_counts.exposed += taken ? 1 : 0;
    return taken;
  }
  const Duration ramp = this->At(kMarginRamp) - this->ordered_at;
  const double released =
      ramp <= Duration::zero()
          ? 0.0
          : std::min(1.0,
                     std::chrono::duration<double>(now - this->ordered_at) /
                         std::chrono::duration<double>(ramp));
  const auto margin = static_cast<std::size_t>(this->limits.exposure_margin *
                                               kUsedMargin * released);
  const std::size_t hosts = std::max<std::size_t>(1, share.hosts);
  const std::size_t own_margin =
      share.rank >= hosts
          ? 0
          : margin / hosts + (share.rank < margin % hosts ? 1 : 0);
  const double allowed =
      static_cast<double>(own_margin) +
      std::floor(static_cast<double>(this->own_counts.all) *
                     this->limits.exposure_share * kUsedShare +
                 this->phase);
  if (static_cast<double>(this->own_counts.exposed) + 1 > allowed) {
    return false;
  }
  ++this->own_counts.exposed;
  return true;
}

// The clocks of hosts are not comparable, so reports carry the time since the
// order. A host that started later learns from them how old the order is, and
// after a restart what it had sent itself.
void Rollout::OnReport(const RolloutReport& report,
                       std::string_view own_name,
                       TimePoint now) {
  if (report.order_revision != this->rollout_order.revision) {
    return;
  }
  const TimePoint reported = now - report.elapsed;
  if (reported < this->ordered_at) {
    this->ordered_at = reported;
  }
  if (report.host != own_name) {
    this->reports[report.host] = report;
  } else if (report.counts.all > this->own_counts.all) {
    this->own_counts.all += report.counts.all;
    this->own_counts.exposed += report.counts.exposed;
    MergeEvidence(this->own, report.evidence);
  }
}

void Rollout::Renew(RolloutOrder repeated, TimePoint now) {
  if (repeated.period != this->rollout_order.period) {
    this->ordered_at = now;
  }
  this->rollout_order = std::move(repeated);
  this->reports.clear();
  this->reported_answers = 0;
  this->reported_bad = 0;
}

RolloutReport Rollout::MakeReport(std::string_view own_name,
                                  TimePoint now) const {
  return {.service = this->rollout_order.service,
          .host = std::string(own_name),
          .order_revision = this->rollout_order.revision,
          .elapsed = std::chrono::duration_cast<milliseconds>(
              std::max(Duration::zero(), this->elapsed(now))),
          .counts = this->own_counts,
          .evidence = this->own};
}

KindEvidence& Rollout::OwnEvidence(std::string_view kind) {
  return this->own[std::string(kind)];
}

bool Rollout::ReportDue(TimePoint now) const {
  const EvidenceSummary summary = SummarizeAll(this->own, /*use_before=*/true);
  const bool worse = summary.bad() > this->reported_bad;
  return (worse || summary.answers > this->reported_answers) &&
         now - this->last_report >=
             (worse ? kBadReportInterval : kReportInterval);
}

void Rollout::OnReported(TimePoint now) {
  const EvidenceSummary summary = SummarizeAll(this->own, /*use_before=*/true);
  this->reported_answers = summary.answers;
  this->reported_bad = summary.bad();
  this->last_report = now;
}

void Rollout::OnReportLost() {
  this->reported_answers = 0;
  this->reported_bad = 0;
  this->last_report = {};
}

void Rollout::SetStage(RolloutStage stage, TimePoint now) {
  if (stage > this->current_stage) {
    this->current_stage = stage;
    this->stage_since = now;
  }
}

RolloutEvidence Rollout::Total() const {
  RolloutEvidence total = this->own;
  for (const auto& [host, report] : this->reports) {
    MergeEvidence(total, report.evidence);
  }
  return total;
}

std::vector<std::string> Rollout::Reporters() const {
  std::vector<std::string> hosts;
  for (const auto& [host, report] : this->reports) {
    hosts.push_back(host);
  }
  return hosts;
}

RolloutVerdict Rollout::Decide(TimePoint now, RolloutTargets targets) const {
  using Kind = RolloutVerdict::Kind;
  if (this->rollout_order.period <= milliseconds(0)) {
    return {.kind = Kind::kBad, .reason = "no_period"};
  }
  const RolloutEvidence total = this->Total();
  std::uint32_t old_answers = 0;
  for (const auto& [name, evidence] : total) {
    old_answers += evidence.old_version.timed();
  }
  const bool use_before =
      now >= this->At(kUseBeforeAt) && old_answers < kEnoughOldAnswers;
  const auto [kind, worst] = FindWorst(total, use_before);
  if (worst.bad() >= kMinBadAnswers && worst.probability < kBadProbability) {
    return {.kind = Kind::kBad,
            .reason = worst.failures >= worst.slow ? "failures" : "latency",
            .request_kind = kind,
            .evidence = worst};
  }
  const EvidenceSummary all = SummarizeAll(total, use_before);
  if (targets.has_new && !targets.has_old) {
    return {.kind = Kind::kGood, .reason = "only_version", .evidence = all};
  }
  if (!targets.has_new) {
    return {.kind = now >= this->At(kGiveUpAt) ? Kind::kBad : Kind::kNone,
            .reason = "no_targets"};
  }
  const bool late = now >= this->At(kDecideAt);
  if (all.answers < (late ? kMinAnswersLate : kMinAnswers)) {
    return {.kind = now >= this->At(kGiveUpAt) ? Kind::kBad : Kind::kNone,
            .reason = "insufficient_evidence",
            .evidence = all};
  }
  if (worst.probability >= kGoodProbability) {
    return {.kind = Kind::kGood, .reason = "as_good", .evidence = all};
  }
  const double excess =
      worst.bad() / std::max(1.0, static_cast<double>(worst.answers)) -
      worst.old_bad / std::max(1.0, static_cast<double>(worst.old_answers));
  const TimePoint decide_at =
      this->current_stage == RolloutStage::kCanary
          ? this->At(kDecideAt)
          : this->FullAt() + (this->At(kDoubtShare) - this->ordered_at);
  if (now < decide_at && this->current_stage != RolloutStage::kFull) {
    return {.reason = "doubtful", .request_kind = kind, .evidence = worst};
  }
  // Not in the last stage: tested again and again, a good version is rejected.
  const bool rejected =
      this->current_stage != RolloutStage::kFull &&
      worst.probability < (all.answers < kFewAnswers ? kRejectProbabilityFew
                                                     : kRejectProbability) &&
      excess > kTolerableExcess;
  return {.kind = rejected ? Kind::kBad : Kind::kGood,
          .reason = "doubtful",
          .request_kind = kind,
          .evidence = worst};
}

RolloutVerdict Rollout::Judge(TimePoint now, RolloutTargets targets) {
  if (!this->bad) {
    RolloutVerdict verdict = this->Decide(now, targets);
    if (verdict.kind != RolloutVerdict::Kind::kBad) {
      return verdict;
    }
    this->bad = std::move(verdict);
  }
  return *this->bad;
}

bool Rollout::MayAdvance(TimePoint now, RolloutTargets targets) {
  const RolloutVerdict verdict = this->Judge(now, targets);
  if (verdict.kind != RolloutVerdict::Kind::kGood) {
    return false;
  }
  if (!targets.has_old) {
    return true;
  }
  switch (this->current_stage) {
    case RolloutStage::kCanary:
      return now >= this->FullAt() - (this->At(kHalfShare) - this->ordered_at);
    case RolloutStage::kHalf:
      return now >= this->FullAt();
    case RolloutStage::kFull:
      break;
  }
  return now - this->stage_since >= this->SettleTime();
}

// A late rollout omits the middle stage.
RolloutStage Rollout::NextStage(TimePoint now) const {
  return now < this->FullAt() ? RolloutStage::kHalf : RolloutStage::kFull;
}

Duration Rollout::SettleTime() const {
  return std::clamp<Duration>(this->At(kSettleShare) - this->ordered_at,
                              kMinSettle, kMaxSettle);
}

TimePoint Rollout::FullAt() const {
  return std::max(this->ordered_at,
                  this->At(kCompleteAt) - kStageDelivery - this->SettleTime());
}

}  // namespace auburnyard
