#ifndef AUBURNYARD_FAN_OUT_H_
#define AUBURNYARD_FAN_OUT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/error.h"
#include "auburnyard/hedging.h"
#include "auburnyard/loss_cause.h"
#include "auburnyard/reason.h"
#include "auburnyard/record_merger.h"
#include "auburnyard/route.h"
#include "auburnyard/target_state.h"

namespace auburnyard {

/// A complete reply of a target to one attempt.
struct RelayReply {
  int status = 0;
  std::string signature;  ///< of the target for this execution; may be empty
  std::string body;
  std::string head;  ///< encoded headers that are forwarded with the reply
  /// Signatures of the parts in a merged reply of another entry host.
  std::vector<std::string> part_signatures;
  /// Services of the parts that are missing; empty if the host did not list
  /// them.
  std::vector<std::string> missing_services;
  /// Maximum number of records with which another entry host merged the reply.
  std::optional<std::uint32_t> top_records;

  /// Another entry host did not start the bundle, because it has no capacity
  /// for it in time.
  bool overloaded = false;

  bool success() const { return this->status / 100 == 2; }
};

/// Why an attempt ended without a usable reply.
enum class PartFailure {
  kUnreachable,  ///< nothing was sent
  kNotAdmitted,  ///< nothing was sent: no connection or no time was left
  kRefused,      ///< the target reported that it did not run the request
  kLost,         ///< sent; whether it ran is unknown
};

struct PartAttempt {
  std::uint32_t part = 0;
  std::uint32_t attempt = 0;
};

/// Parts that are fetched and merged by an entry host near their targets.
struct PartBundle {
  TargetPtr host;
  std::vector<std::uint32_t> parts;
};

enum class AttemptPurpose { kFirst, kRetry, kHedge };

/// Outcome of a request.
struct FanOutResult {
  /// Merged answer, reply of a single target, or refusal.
  enum class Kind { kMerged, kReply, kRefusal };
  Kind kind = Kind::kRefusal;
  RelayReply reply;                           // kReply
  std::string records;                        // kMerged
  std::vector<std::string> signatures;        // kMerged
  std::size_t missing_parts = 0;              // kMerged: parts left out
  std::vector<std::string> missing_services;  // kMerged: their services
  ErrorKind error = ErrorKind::kInternal;     // kRefusal
  RunState run = RunState::kNotRun;           // kRefusal
  /// kRefusal: status of a target's reply that is not returned, because the
  /// status would be a false promise; 0: none.
  int withheld_status = 0;
};

struct FanOutPlan {
  const Route* route = nullptr;  ///< must outlive the request
  /// Services to call, one part each.
  std::vector<std::string_view> services;
  /// Parts that are first requested in bundles and not by attempts of this
  /// host.
  std::vector<PartBundle> bundles;
  /// Order among waiting requests, 0 is first.
  std::uint32_t priority = 0;
  /// Estimate for the kind of request; null: not known.
  std::shared_ptr<WorkEstimate> work;
  TimePoint arrival{};
  /// The answer is a bundle for another host, so that any coverage is useful.
  /// The minimum coverage of the route only decides how long to wait.
  bool partial = false;
  TimePoint answer_by{};  ///< answer from now on if the coverage suffices
  TimePoint deadline{};
};

/// Callbacks for the side effects of a request.
struct FanOutHooks {
  /// Returns the best target of the service that is not in `tried`, or null.
  std::function<TargetPtr(std::string_view service,
                          std::span<const TargetPtr> tried)>
      choose_target;
  /// Takes a repeat from the service's budget; false if it is used up.
  std::function<bool(std::string_view service, AttemptPurpose purpose)>
      take_repeat;
  std::function<void(PartAttempt id, const TargetPtr& target)> send_attempt;
  /// The result of the attempt is no longer needed.
  std::function<void(PartAttempt id)> abandon_attempt;
  std::function<void(FanOutResult result)> finish;
  /// Number of targets that are registered for the service.
  std::function<std::size_t(std::string_view service)> count_replicas;
  std::function<void(std::uint32_t bundle, const TargetPtr& host)> send_bundle;
  std::function<void(std::uint32_t bundle)> abandon_bundle;
};

/// Maximum number of parts that may be missing for the minimum coverage.
std::size_t AllowedMissingParts(std::size_t parts, double min_coverage);

/// State machine of one request: fetches a part for each shard, or a single
/// reply that is forwarded unchanged. Retries and hedges parts, and answers at
/// the latency objective if the coverage suffices. Performs no I/O.
class FanOut {
 public:
  FanOut(FanOutPlan plan, FanOutHooks hooks);

  void Start(TimePoint now);
  /// The request of the attempt was sent to the target.
  void OnSent(PartAttempt id);
  void OnReply(PartAttempt id, RelayReply reply, TimePoint now);
  void OnFailure(PartAttempt id, PartFailure failure, TimePoint now);
  void OnBundleSent(std::uint32_t index);
  void OnBundleReply(std::uint32_t index, RelayReply reply, TimePoint now);
  void OnBundleFailure(std::uint32_t index, PartFailure failure, TimePoint now);
  void OnTimer(TimePoint now);
  /// Answers by `stop` at the latest, because the host shuts down.
  void StopBy(TimePoint stop);
  /// The caller has disconnected.
  void Cancel();
  /// Time of the next call of OnTimer.
  TimePoint NextTimer() const;
  /// Maximum number of parts that may be missing in the answer.
  std::size_t AllowedMissing() const;
  /// Maximum number of parts that may be missing in a bundle, in proportion to
  /// its size.
  std::size_t AllowedMissing(std::uint32_t bundle) const;
  bool finished() const { return this->done; }
  const FanOutPlan& plan() const { return this->request_plan; }
  std::uint32_t repeats() const { return this->started_repeats; }
  /// Services of missing parts with the targets that were tried, for logs.
  /// Lists a bounded number of parts.
  std::string DescribeMissing() const;
  /// Parts by the cause for which the answer lacks them or, if it had to wait
  /// for them, for which they were missing at the latency objective.
  const LossCounts& losses() const { return this->loss_counts; }

 private:
  struct Attempt {
    TargetPtr target;
    bool sent = false;
    bool open = true;
    std::optional<PartFailure> failure;  // how it ended, unless by a reply
  };
  struct Bundle;
  struct Part {
    std::string_view service;
    std::vector<Attempt> attempts;
    std::vector<TargetPtr> tried;
    TimePoint hedge_at = TimePoint::max();
    bool settled = false;
    /// Reply to a direct attempt, held while the bundle may still answer.
    std::optional<RelayReply> held_reply;
    const Bundle* bundle = nullptr;
    bool answered = false;              // the answer contains its reply
    bool missing_from_bundle = false;   // its bundle does not contain it
    bool reached_target = false;        // an attempt was sent to a target
    std::uint32_t executions = 0;       // attempts that may have run
    std::optional<RelayReply> failure;  // a failure reply of a target
  };

  struct Bundle {
    TargetPtr host;
    std::vector<std::uint32_t> parts;
    TimePoint split_at = TimePoint::max();
    bool open = true;
    bool sent = false;
    bool split = false;  // its parts are fetched directly
    bool answered = false;
  };

  void StartBundles();
  /// Starts direct attempts for the parts of a bundle that is late or lost.
  void SplitBundle(Bundle& bundle, TimePoint now);
  /// Gives up the parts of a bundle that its host did not start.
  void RefuseBundle(Bundle& bundle);
  void MergeBundle(Bundle& bundle, RelayReply reply);
  void UpdateBundledPart(std::uint32_t index, bool present);
  /// Retries parts that are missing from bundles, once it is certain that the
  /// answer needs them, or gives them up.
  void RetryOrGiveUpMissingParts(TimePoint now);
  void TrimRecords(RelayReply& reply) const;
  void MergePart(Part& part, RelayReply reply);
  void MergeHeldReplies();
  bool MaySplit(const Bundle& bundle) const;
  /// Retries or gives up the parts that a bundle did not answer.
  void RetryOrGiveUpParts(const Bundle& bundle, TimePoint now);
  void AbandonAttempts(std::uint32_t index);
  bool StartAttempt(std::uint32_t part, AttemptPurpose purpose, TimePoint now);
  HedgeTiming Timing() const;
  void OnHedgeDue(std::uint32_t index, TimePoint now);
  /// Retries a part whose attempts have all ended, or gives it up.
  void RetryOrGiveUp(std::uint32_t index, TimePoint now);
  static bool HasOpenAttempt(const Part& part);
  /// Executions so far, plus open attempts that may still be sent.
  static std::uint32_t PossibleExecutions(const Part& part);
  bool MayRepeat(const Part& part) const;
  void Settle(Part& part);
  void CheckProgress(TimePoint now);
  /// Counts the causes of the parts that are missing now.
  void CountLosses(TimePoint now);
  static LossCause CauseOf(const Part& part, TimePoint now);
  static LossCause CauseOf(const Attempt& attempt, TimePoint now);
  bool AnyAnswered() const;
  /// Answers with the parts received so far.
  void FinishMerged();
  void FinishReply(RelayReply reply);
  void FinishRefusal(ErrorKind error, int withheld_status = 0);
  void Finish(FanOutResult result);
  void AbandonOpen();
  RunState State() const;

  FanOutPlan request_plan;
  FanOutHooks hooks;
  std::vector<Part> parts;
  std::vector<Bundle> bundles;
  RecordMerger merger;
  std::vector<std::string> signatures;
  std::size_t open_parts;
  std::size_t failed_parts = 0;
  std::size_t parts_missing_from_bundles = 0;  // still open
  std::uint32_t started_repeats = 0;
  bool bundle_refused = false;  // for lack of capacity in time
  bool no_target = false;       // a part failed because no target was available
  /// Error of a request that is not answered by its deadline.
  ErrorKind deadline_error = ErrorKind::kDeadlineExceeded;
  LossCounts loss_counts{};
  bool losses_counted = false;
  bool done = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_FAN_OUT_H_
