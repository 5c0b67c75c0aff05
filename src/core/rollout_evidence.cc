#include "auburnyard/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburnyard {

namespace {

// An answer is slow from 2 to 2.8 times the old version's median time (width of
// a bucket): below the slowness of bad versions (several times), above the
// usual spread.
constexpr std::size_t kSlowBuckets = 3;
// With fewer timed answers of the old version its median is not known.
constexpr std::uint32_t kMinTimedAnswers = 8;
// Answers before the order count as at most this many, so that a few of the
// same period outweigh them.
constexpr std::uint32_t kMaxAnswersBefore = 20;
// Weight of the assumption that one in 20 answers is bad before anything is
// known of the old version, in answers.
constexpr double kPriorBad = 1;
constexpr double kPriorGood = 19;

std::size_t MedianBucket(const VersionEvidence& evidence) {
  const std::uint32_t half = (evidence.timed() + 1) / 2;
  std::uint32_t seen = 0;
  std::size_t bucket = 0;
  for (; bucket < VersionEvidence::kBuckets; ++bucket) {
    seen += evidence.latencies.at(bucket);
    if (seen >= half) {
      break;
    }
  }
  return bucket;
}

std::uint32_t CountFrom(const VersionEvidence& evidence, std::size_t bucket) {
  const auto begin =
      evidence.latencies.begin() +
      static_cast<std::ptrdiff_t>(std::min(bucket, evidence.latencies.size()));
  return std::accumulate(begin, evidence.latencies.end(), std::uint32_t{0});
}

double LogBeta(double a, double b) {
  return std::lgamma(a) + std::lgamma(b) - std::lgamma(a + b);
}

// Beta-binomial: the share of bad answers of the old version is itself an
// estimate from few answers. A binomial test with the observed share rejected
// half of the good versions in trials.
void SetProbability(EvidenceSummary& summary) {
  const double n = summary.answers;
  const double a = kPriorBad + summary.old_bad;
  const double b = kPriorGood + summary.old_answers -
                   std::min<double>(summary.old_bad, summary.old_answers);
  const std::uint32_t bad = std::min(summary.bad(), summary.answers);
  // Each term follows from the one before it; the first needs logarithms.
  double term = std::exp(std::lgamma(n + 1) - std::lgamma(bad + 1.0) -
                         std::lgamma(n - bad + 1) +
                         LogBeta(bad + a, n - bad + b) - LogBeta(a, b));
  double sum = 0;
  for (double k = bad; k <= n; ++k) {
    sum += term;
    term *= (n - k) * (k + a) / ((k + 1) * (n - k - 1 + b));
  }
  summary.probability = bad == 0 ? 1 : std::min(sum, 1.0);
}

}  // namespace

void VersionEvidence::AddFailure() {
  ++this->answers;
  ++this->failures;
}

void VersionEvidence::AddReply(Duration latency) {
  ++this->answers;
  const double time = std::max(1.0, ToMilliseconds(latency));
  const auto bucket = static_cast<std::size_t>(std::log2(time) * 2);
  ++this->latencies.at(std::min(bucket, kBuckets - 1));
}

void VersionEvidence::Merge(const VersionEvidence& other) {
  this->answers += other.answers;
  this->failures += other.failures;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    this->latencies.at(i) += other.latencies.at(i);
  }
}

void VersionEvidence::LimitTo(std::uint32_t count) {
  if (this->answers <= count) {
    return;
  }
  this->failures /= 2;
  for (std::uint32_t& bucket : this->latencies) {
    bucket /= 2;
  }
  this->answers = this->failures + this->timed();
}

std::uint32_t VersionEvidence::timed() const {
  return CountFrom(*this, 0);
}

void MergeEvidence(RolloutEvidence& sum, const RolloutEvidence& added) {
  for (const auto& [kind, evidence] : added) {
    sum[kind].old_version.Merge(evidence.old_version);
    sum[kind].new_version.Merge(evidence.new_version);
    sum[kind].before.Merge(evidence.before);
  }
}

EvidenceSummary Summarize(const KindEvidence& evidence, bool use_before) {
  const VersionEvidence& old_version = evidence.old_version;
  VersionEvidence reference = old_version;
  if (use_before) {
    reference.Merge(evidence.before);
  }
  EvidenceSummary summary{.answers = evidence.new_version.answers,
                          .failures = evidence.new_version.failures,
                          .old_answers = old_version.answers,
                          .old_bad = old_version.failures};
  std::uint32_t bad_before = evidence.before.failures;
  if (reference.timed() >= kMinTimedAnswers) {
    const std::size_t limit = MedianBucket(reference) + kSlowBuckets;
    summary.slow = CountFrom(evidence.new_version, limit);
    summary.old_bad += CountFrom(old_version, limit);
    bad_before += CountFrom(evidence.before, limit);
  }
  if (use_before && evidence.before.answers > 0) {
    const std::uint32_t weight =
        std::min(evidence.before.answers, kMaxAnswersBefore);
    summary.old_answers += weight;
    summary.old_bad += bad_before * weight / evidence.before.answers;
  }
  SetProbability(summary);
  return summary;
}

EvidenceSummary SummarizeAll(const RolloutEvidence& evidence, bool use_before) {
  EvidenceSummary all;
  for (const auto& [kind, part] : evidence) {
    const EvidenceSummary summary = Summarize(part, use_before);
    all.answers += summary.answers;
    all.failures += summary.failures;
    all.slow += summary.slow;
    all.old_answers += summary.old_answers;
    all.old_bad += summary.old_bad;
  }
  SetProbability(all);
  return all;
}

std::pair<std::string, EvidenceSummary> FindWorst(
    const RolloutEvidence& evidence,
    bool use_before) {
  std::pair<std::string, EvidenceSummary> worst{
      "", SummarizeAll(evidence, use_before)};
  for (const auto& [kind, part] : evidence) {
    const EvidenceSummary summary = Summarize(part, use_before);
    if (summary.probability < worst.second.probability) {
      worst = {kind, summary};
    }
  }
  return worst;
}

}  // namespace auburnyard
