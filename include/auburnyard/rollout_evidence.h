#ifndef AUBURNYARD_ROLLOUT_EVIDENCE_H_
#define AUBURNYARD_ROLLOUT_EVIDENCE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Answers of the targets of one version to one kind of request.
struct VersionEvidence {
  /// Two buckets per doubling of the latency, beginning at 1 ms.
  static constexpr std::size_t kBuckets = 32;

  std::uint32_t answers = 0;   ///< failures included
  std::uint32_t failures = 0;  ///< lost or answered with an error
  /// Successful answers by time at the target.
  std::array<std::uint32_t, kBuckets> latencies{};

  void AddFailure();
  void AddReply(Duration latency);
  /// Adds an answer whose latency is not representative.
  void AddUntimedReply() { ++this->answers; }
  void Merge(const VersionEvidence& other);
  std::uint32_t timed() const;
  /// Halves all counts if there are more answers, so that newer ones have more
  /// weight.
  void LimitTo(std::uint32_t count);

  bool operator==(const VersionEvidence&) const = default;
};

struct KindEvidence {
  VersionEvidence old_version;
  VersionEvidence new_version;
  VersionEvidence before;  ///< the old version before the order

  bool operator==(const KindEvidence&) const = default;
};

/// By kind of request.
using RolloutEvidence = std::map<std::string, KindEvidence, std::less<>>;

void MergeEvidence(RolloutEvidence& sum, const RolloutEvidence& added);

/// Comparison of the new version with the old one in the same period, so that a
/// common cause is not attributed to the new version.
struct EvidenceSummary {
  std::uint32_t answers = 0;   ///< of the new version
  std::uint32_t failures = 0;  ///< of the new version
  std::uint32_t slow = 0;      ///< of the new version
  std::uint32_t old_answers = 0;
  std::uint32_t old_bad = 0;
  /// Probability of at least this many bad answers if the new version were as
  /// good as the old one.
  double probability = 1;

  std::uint32_t bad() const { return this->failures + this->slow; }
};

/// `use_before`: answers from before the order are used as well, which
/// attributes a common cause to the version.
EvidenceSummary Summarize(const KindEvidence& evidence, bool use_before);
/// The kind, or all kinds together (empty name), with the lowest probability.
std::pair<std::string, EvidenceSummary> FindWorst(
    const RolloutEvidence& evidence,
    bool use_before);
/// All kinds together.
EvidenceSummary SummarizeAll(const RolloutEvidence& evidence, bool use_before);

}  // namespace auburnyard

#endif  // AUBURNYARD_ROLLOUT_EVIDENCE_H_
