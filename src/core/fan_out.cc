#include "auburnyard/fan_out.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "auburnyard/status_promise.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Refused attempts do not count as executions but still cause load on targets,
// so that the number of attempts is limited as well.
constexpr std::size_t kMaxAttemptsPerPart = 4;
// Delay until a hedge for which no target or budget was available is retried.
constexpr milliseconds kHedgeRetryDelay{25};
// Tolerance for rounding errors in the comparison with the minimum coverage.
constexpr double kCoverageTolerance = 1e-9;
constexpr std::size_t kMaxDescribedParts = 3;
// A failure of a single target is held while another one is tried, unless its
// body is larger.
constexpr std::size_t kMaxHeldBytes = 64 * 1024;

}  // namespace

FanOut::FanOut(FanOutPlan plan, FanOutHooks side_effects)
    : request_plan(std::move(plan)),
      hooks(std::move(side_effects)),
      parts(this->request_plan.services.size()),
      merger(this->request_plan.route->top_records),
      open_parts(this->request_plan.services.size()) {
  for (std::size_t i = 0; i < this->parts.size(); ++i) {
    this->parts[i].service = this->request_plan.services[i];
  }
}

void FanOut::Start(TimePoint now) {
  this->StartBundles();
  for (std::uint32_t i = 0; i < this->parts.size() && !this->done; ++i) {
    if (this->parts[i].bundle == nullptr &&
        !this->StartAttempt(i, AttemptPurpose::kFirst, now) && !this->done) {
      this->no_target = true;
      ++this->failed_parts;
      this->Settle(this->parts[i]);
    }
  }
  this->CheckProgress(now);
}

bool FanOut::StartAttempt(std::uint32_t index,
                          AttemptPurpose purpose,
                          TimePoint now) {
  Part& part = this->parts[index];
  TargetPtr target = this->hooks.choose_target(part.service, part.tried);
  if (target == nullptr) {
    return false;
  }
  if (purpose == AttemptPurpose::kHedge &&
      !IsHedgeInTime(*target, this->Timing(), now)) {
    return false;
  }
  // An attempt that is still waiting for a connection may reach its target,
  // too.
  const bool extra = part.reached_target || HasOpenAttempt(part);
  if (extra && !this->hooks.take_repeat(part.service, purpose)) {
    return false;
  }
  this->started_repeats += purpose == AttemptPurpose::kFirst ? 0 : 1;
  part.tried.push_back(target);
  part.attempts.push_back({.target = target});
  if (this->request_plan.route->idempotent) {
    part.hedge_at = HedgeTime(*target, this->Timing(), now);
  }
  this->hooks.send_attempt(
      {index, static_cast<std::uint32_t>(part.attempts.size() - 1)}, target);
  return true;
}

HedgeTiming FanOut::Timing() const {
  return {.work = this->request_plan.work.get(),
          .answer_by = this->request_plan.answer_by,
          .deadline = this->request_plan.deadline};
}

void FanOut::OnHedgeDue(std::uint32_t index, TimePoint now) {
  Part& part = this->parts[index];
  part.hedge_at = TimePoint::max();
  if (PossibleExecutions(part) >= this->request_plan.route->max_attempts) {
    return;
  }
  if (!this->StartAttempt(index, AttemptPurpose::kHedge, now)) {
    part.hedge_at = now + kHedgeRetryDelay;
  }
}

void FanOut::OnSent(PartAttempt id) {
  Part& part = this->parts[id.part];
  part.attempts[id.attempt].sent = true;
  part.reached_target = true;
  ++part.executions;
}

void FanOut::OnReply(PartAttempt id, RelayReply reply, TimePoint now) {
  Part& part = this->parts[id.part];
  part.attempts[id.attempt].open = false;
  if (this->done || part.settled) {
    return;
  }
  const bool merged = this->request_plan.route->fans_out();
  if (!merged &&
      !MayReturnStatus(reply.status, this->request_plan.route->idempotent)) {
    this->CountLosses(now);
    this->FinishRefusal(ErrorKind::kUnconfirmedRefusal, reply.status);
    return;
  }
  const bool usable =
      merged ? reply.success() && !reply.signature.empty() : reply.status < 500;
  if (!usable) {
    if (!merged) {
      part.failure = std::move(reply);
    }
    this->RetryOrGiveUp(id.part, now);
    if (part.failure && part.failure->body.size() > kMaxHeldBytes) {
      part.failure.reset();
    }
    return;
  }
  if (!merged) {
    this->FinishReply(std::move(reply));
    return;
  }
  if (part.bundle != nullptr && part.bundle->open) {
    part.answered = true;
    this->TrimRecords(reply);
    part.held_reply = std::move(reply);
  } else {
    this->MergePart(part, std::move(reply));
  }
  this->Settle(part);
  this->AbandonAttempts(id.part);
  this->CheckProgress(now);
}

// Replies that are held must not hold more than the answer can contain.
void FanOut::TrimRecords(RelayReply& reply) const {
  const std::size_t records = this->request_plan.route->top_records;
  if (reply.body.size() > records * RecordMerger::kRecordBytes) {
    RecordMerger greatest(records);
    greatest.Add(reply.body);
    reply.body = greatest.Take();
  }
}

void FanOut::MergePart(Part& part, RelayReply reply) {
  part.answered = true;
  this->merger.Add(reply.body);
  this->signatures.push_back(std::move(reply.signature));
}

void FanOut::OnFailure(PartAttempt id, PartFailure failure, TimePoint now) {
  Part& part = this->parts[id.part];
  Attempt& attempt = part.attempts[id.attempt];
  attempt.open = false;
  attempt.failure = failure;
  if (attempt.sent && failure == PartFailure::kRefused) {
    --part.executions;
  }
  if (!this->done && !part.settled) {
    this->RetryOrGiveUp(id.part, now);
  }
}

bool FanOut::HasOpenAttempt(const Part& part) {
  const bool bundled = part.bundle != nullptr && part.bundle->open;
  return bundled ||
         std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const Attempt& attempt) { return attempt.open; });
}

std::uint32_t FanOut::PossibleExecutions(const Part& part) {
  const auto waiting = std::count_if(
      part.attempts.begin(), part.attempts.end(),
      [](const Attempt& attempt) { return attempt.open && !attempt.sent; });
  return part.executions + static_cast<std::uint32_t>(waiting);
}

bool FanOut::MayRepeat(const Part& part) const {
  if (part.attempts.size() >= kMaxAttemptsPerPart ||
      PossibleExecutions(part) >= this->request_plan.route->max_attempts) {
    return false;
  }
  return this->request_plan.route->idempotent || part.executions == 0;
}

void FanOut::RetryOrGiveUp(std::uint32_t index, TimePoint now) {
  Part& part = this->parts[index];
  if (HasOpenAttempt(part)) {
    return;
  }
  if (this->MayRepeat(part) &&
      this->StartAttempt(index, AttemptPurpose::kRetry, now)) {
    return;
  }
  if (this->done || part.settled) {
    return;
  }
  if (!this->request_plan.route->fans_out()) {
    this->CountLosses(now);
    if (part.failure) {
      this->FinishReply(std::move(*part.failure));
    } else {
      this->FinishRefusal(part.executions == 0 ? ErrorKind::kNoCapacity
                                               : ErrorKind::kOutcomeUnknown);
    }
    return;
  }
  ++this->failed_parts;
  this->Settle(part);
  this->CheckProgress(now);
}

void FanOut::Settle(Part& part) {
  part.settled = true;
  part.hedge_at = TimePoint::max();
  --this->open_parts;
}

std::size_t FanOut::AllowedMissing() const {
  return AllowedMissingParts(this->parts.size(),
                             this->request_plan.route->min_coverage);
}

std::size_t AllowedMissingParts(std::size_t parts, double min_coverage) {
  const auto count = static_cast<double>(parts);
  const double needed = std::ceil(count * min_coverage - kCoverageTolerance);
  const double allowed = count - std::max(1.0, needed);
  return allowed > 0 ? static_cast<std::size_t>(allowed) : 0;
}

void FanOut::CheckProgress(TimePoint now) {
  if (!this->done) {
    this->RetryOrGiveUpMissingParts(now);
  }
  if (this->done) {
    return;
  }
  if (now >= this->request_plan.answer_by) {
    this->CountLosses(now);
  }
  const bool coverage_unreachable =
      this->request_plan.partial ? this->open_parts == 0 && !this->AnyAnswered()
                                 : this->failed_parts > this->AllowedMissing();
  if (coverage_unreachable) {
    this->CountLosses(now);
    ErrorKind error = ErrorKind::kCoverageTooLow;
    if (this->bundle_refused) {
      error = ErrorKind::kOverloaded;
    } else if (this->no_target) {
      error = ErrorKind::kNoCapacity;
    }
    this->FinishRefusal(error);
    return;
  }
  const std::size_t missing = this->failed_parts + this->open_parts;
  const bool enough = missing <= this->AllowedMissing();
  if (this->open_parts == 0 ||
      (enough && now >= this->request_plan.answer_by)) {
    this->CountLosses(now);
    this->FinishMerged();
  } else if (now >= this->request_plan.deadline) {
    if (this->request_plan.partial && this->AnyAnswered()) {
      this->FinishMerged();
    } else {
      this->FinishRefusal(this->deadline_error);
    }
  }
}

bool FanOut::AnyAnswered() const {
  return std::any_of(this->parts.begin(), this->parts.end(),
                     [](const Part& part) { return part.answered; });
}

void FanOut::OnTimer(TimePoint now) {
  if (this->done) {
    return;
  }
  if (this->request_plan.route->fans_out()) {
    this->CheckProgress(now);
  } else if (now >= this->request_plan.deadline) {
    this->CountLosses(now);
    this->FinishRefusal(this->deadline_error);
  }
  for (std::uint32_t i = 0; i < this->parts.size() && !this->done; ++i) {
    if (this->parts[i].hedge_at <= now) {
      this->OnHedgeDue(i, now);
    }
  }
  for (Bundle& bundle : this->bundles) {
    if (!this->done && bundle.open && bundle.split_at <= now) {
      this->SplitBundle(bundle, now);
    }
  }
}

TimePoint FanOut::NextTimer() const {
  TimePoint next = this->request_plan.deadline;
  const std::size_t missing = this->failed_parts + this->open_parts;
  const bool answer_due = missing <= this->AllowedMissing() ||
                          this->parts_missing_from_bundles > 0 ||
                          !this->losses_counted;
  if (this->request_plan.route->fans_out() && answer_due) {
    next = std::min(next, this->request_plan.answer_by);
  }
  for (const Part& part : this->parts) {
    next = std::min(next, part.hedge_at);
  }
  for (const Bundle& bundle : this->bundles) {
    next = std::min(next, bundle.open ? bundle.split_at : TimePoint::max());
  }
  return next;
}

RunState FanOut::State() const {
  for (const Part& part : this->parts) {
    if (part.executions > 0) {
      return RunState::kUnknown;
    }
  }
  return RunState::kNotRun;
}

void FanOut::FinishMerged() {
  this->MergeHeldReplies();
  FanOutResult result;
  result.kind = FanOutResult::Kind::kMerged;
  result.records = this->merger.Take();
  result.missing_parts = this->parts.size() - this->signatures.size();
  for (const Part& part : this->parts) {
    if (!part.answered) {
      result.missing_services.emplace_back(part.service);
    }
  }
  result.signatures = std::move(this->signatures);
  this->Finish(std::move(result));
}

void FanOut::FinishReply(RelayReply reply) {
  FanOutResult result;
  result.kind = FanOutResult::Kind::kReply;
  result.reply = std::move(reply);
  this->Finish(std::move(result));
}

void FanOut::FinishRefusal(ErrorKind error, int withheld_status) {
  FanOutResult result;
  result.error = error;
  result.withheld_status = withheld_status;
  // Abandons queued attempts first, because they affect the reported run state.
  this->AbandonOpen();
  result.run = this->State();
  this->Finish(std::move(result));
}

void FanOut::Finish(FanOutResult result) {
  this->done = true;
  this->AbandonOpen();
  this->hooks.finish(std::move(result));
}

void FanOut::AbandonAttempts(std::uint32_t index) {
  std::vector<Attempt>& attempts = this->parts[index].attempts;
  for (std::uint32_t i = 0; i < attempts.size(); ++i) {
    if (attempts[i].open) {
      attempts[i].open = false;
      this->hooks.abandon_attempt({index, i});
    }
  }
}

void FanOut::AbandonOpen() {
  for (std::uint32_t i = 0; i < this->parts.size(); ++i) {
    this->AbandonAttempts(i);
  }
  for (std::uint32_t i = 0; i < this->bundles.size(); ++i) {
    if (this->bundles[i].open) {
      this->bundles[i].open = false;
      this->hooks.abandon_bundle(i);
    }
  }
}

std::string FanOut::DescribeMissing() const {
  std::string text;
  std::size_t described = 0;
  for (const Part& part : this->parts) {
    if (part.answered || described == kMaxDescribedParts) {
      continue;
    }
    ++described;
    text += (text.empty() ? "" : " ") + std::string(part.service) + ":";
    for (const Attempt& attempt : part.attempts) {
      text += &attempt == part.attempts.data() ? "" : ",";
      text += attempt.target->entry().id + (attempt.sent ? "+" : "-");
    }
  }
  return text;
}

void FanOut::StopBy(TimePoint stop) {
  if (stop >= this->request_plan.deadline) {
    return;
  }
  this->request_plan.deadline = stop;
  this->request_plan.answer_by = std::min(this->request_plan.answer_by, stop);
  this->deadline_error = ErrorKind::kShuttingDown;
}

void FanOut::Cancel() {
  if (!this->done) {
    this->done = true;
    this->AbandonOpen();
  }
}

}  // namespace auburnyard
