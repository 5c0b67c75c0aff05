#include <algorithm>
#include <utility>

#include "auburnyard/fan_out.h"
#include "auburnyard/status_promise.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// An entry host answers by the requested time with the parts it has received,
// so that a later reply indicates a problem with the host or the network.
constexpr milliseconds kBundleGrace{15};

}  // namespace

void FanOut::StartBundles() {
  this->bundles.reserve(this->request_plan.bundles.size());
  for (const PartBundle& planned : this->request_plan.bundles) {
    Bundle& bundle =
        this->bundles.emplace_back(Bundle{planned.host, planned.parts});
    for (const std::uint32_t part : bundle.parts) {
      this->parts[part].bundle = &bundle;
    }
    bundle.split_at = this->request_plan.answer_by + kBundleGrace;
    this->hooks.send_bundle(
        static_cast<std::uint32_t>(this->bundles.size() - 1), bundle.host);
  }
}

void FanOut::OnBundleSent(std::uint32_t index) {
  Bundle& bundle = this->bundles[index];
  bundle.sent = true;
  for (const std::uint32_t part : bundle.parts) {
    this->parts[part].reached_target = true;
    ++this->parts[part].executions;
  }
}

std::size_t FanOut::AllowedMissing(std::uint32_t bundle) const {
  return this->AllowedMissing() * this->bundles[bundle].parts.size() /
         this->parts.size();
}

// The entry host may have used the maximum number of targets for a part.
// Further attempts stay within the limit only if there are no other targets.
bool FanOut::MaySplit(const Bundle& bundle) const {
  if (!bundle.sent) {
    return true;
  }
  return std::all_of(
      bundle.parts.begin(), bundle.parts.end(), [this](std::uint32_t part) {
        return this->hooks.count_replicas(this->parts[part].service) <=
               this->request_plan.route->max_attempts;
      });
}

void FanOut::SplitBundle(Bundle& bundle, TimePoint now) {
  bundle.split_at = TimePoint::max();
  if (bundle.split || !this->MaySplit(bundle)) {
    return;
  }
  bundle.split = true;
  if (bundle.open && !bundle.sent) {
    // Otherwise it could reach further targets after the direct attempts.
    bundle.open = false;
    this->hooks.abandon_bundle(
        static_cast<std::uint32_t>(&bundle - this->bundles.data()));
  }
  for (const std::uint32_t part : bundle.parts) {
    if (!this->done && !this->parts[part].settled) {
      this->StartAttempt(part, AttemptPurpose::kRetry, now);
    }
  }
}

void FanOut::OnBundleReply(std::uint32_t index,
                           RelayReply reply,
                           TimePoint now) {
  Bundle& bundle = this->bundles[index];
  const std::size_t answered = reply.part_signatures.size();
  if (reply.overloaded) {
    bundle.open = false;
    this->RefuseBundle(bundle);
    if (!this->done) {
      this->CheckProgress(now);
    }
    return;
  }
  // A bundle that was merged with another limit may lack records of its parts.
  const bool usable =
      reply.success() && answered > 0 && answered <= bundle.parts.size() &&
      reply.top_records == this->request_plan.route->top_records;
  if (!usable) {
    // Only a target signs its replies, and its status is no promise.
    const bool not_run =
        PromisesNotRun(reply.status) && reply.signature.empty();
    this->OnBundleFailure(
        index, not_run ? PartFailure::kRefused : PartFailure::kLost, now);
    return;
  }
  bundle.open = false;
  bundle.answered = true;
  if (this->done) {
    return;
  }
  const bool names_missing_parts =
      reply.missing_services.size() + answered == bundle.parts.size();
  if (!names_missing_parts) {
    reply.missing_services.clear();
  }
  const auto held_count = static_cast<std::size_t>(std::count_if(
      bundle.parts.begin(), bundle.parts.end(), [this](std::uint32_t part) {
        return this->parts[part].held_reply.has_value();
      }));
  // The records of a bundle do not identify their parts. If the host did not
  // list the missing ones, either the bundle or the held replies can be used,
  // but not both.
  if (names_missing_parts || held_count < answered) {
    this->MergeBundle(bundle, std::move(reply));
  } else {
    this->RetryOrGiveUpParts(bundle, now);
  }
  this->CheckProgress(now);
}

// Attempts of this host would add to the load that the other host rejected.
void FanOut::RefuseBundle(Bundle& bundle) {
  this->bundle_refused = true;
  for (const std::uint32_t index : bundle.parts) {
    Part& part = this->parts[index];
    if (bundle.sent && part.executions > 0) {
      --part.executions;
    }
    if (!this->done && !part.settled && !HasOpenAttempt(part)) {
      ++this->failed_parts;
      this->Settle(part);
    }
  }
  bundle.sent = false;
}

void FanOut::RetryOrGiveUpParts(const Bundle& bundle, TimePoint now) {
  for (const std::uint32_t index : bundle.parts) {
    Part& part = this->parts[index];
    if (this->done || part.settled || HasOpenAttempt(part)) {
      continue;
    }
    if (this->MaySplit(bundle)) {
      this->RetryOrGiveUp(index, now);
    } else {
      ++this->failed_parts;
      this->Settle(part);
    }
  }
}

void FanOut::MergeBundle(Bundle& bundle, RelayReply reply) {
  this->merger.Add(reply.body);
  const std::size_t answered = reply.part_signatures.size();
  const bool names_missing_parts =
      reply.missing_services.size() + answered == bundle.parts.size();
  std::move(reply.part_signatures.begin(), reply.part_signatures.end(),
            std::back_inserter(this->signatures));
  for (const std::uint32_t index : bundle.parts) {
    const bool present =
        std::find(reply.missing_services.begin(), reply.missing_services.end(),
                  this->parts[index].service) == reply.missing_services.end();
    this->UpdateBundledPart(index, present);
  }
  if (!names_missing_parts) {
    this->failed_parts += bundle.parts.size() - answered;
  }
}

void FanOut::UpdateBundledPart(std::uint32_t index, bool present) {
  Part& part = this->parts[index];
  if (present) {
    if (!part.settled) {
      this->Settle(part);
    } else if (!part.answered) {
      --this->failed_parts;
    }
    part.answered = true;
    part.held_reply.reset();
    this->AbandonAttempts(index);
  } else if (!part.settled && !HasOpenAttempt(part)) {
    part.missing_from_bundle = true;
    ++this->parts_missing_from_bundles;
  }
}

// The entry host already tried the targets of these parts in time, so that
// another attempt only helps if the answer has to wait for them.
void FanOut::RetryOrGiveUpMissingParts(TimePoint now) {
  const bool decided = this->open_parts == this->parts_missing_from_bundles ||
                       now >= this->request_plan.answer_by;
  if (this->parts_missing_from_bundles == 0 || !decided) {
    return;
  }
  const std::size_t missing = this->failed_parts + this->open_parts;
  const bool needed = missing > this->AllowedMissing();
  this->parts_missing_from_bundles = 0;
  for (std::uint32_t i = 0; i < this->parts.size() && !this->done; ++i) {
    Part& part = this->parts[i];
    if (!std::exchange(part.missing_from_bundle, false)) {
      continue;
    }
    // The entry host may have used the maximum number of targets for the part.
    if (needed && this->hooks.count_replicas(part.service) <=
                      this->request_plan.route->max_attempts) {
      this->RetryOrGiveUp(i, now);
    } else {
      ++this->failed_parts;
      this->Settle(part);
    }
  }
}

void FanOut::MergeHeldReplies() {
  for (Part& part : this->parts) {
    if (part.held_reply) {
      this->MergePart(part, std::move(*part.held_reply));
      part.held_reply.reset();
    }
  }
}

void FanOut::OnBundleFailure(std::uint32_t index,
                             PartFailure failure,
                             TimePoint now) {
  Bundle& bundle = this->bundles[index];
  bundle.open = false;
  if (this->done) {
    return;
  }
  if (bundle.sent && failure == PartFailure::kRefused) {
    bundle.sent = false;
    for (const std::uint32_t part : bundle.parts) {
      --this->parts[part].executions;
      this->parts[part].reached_target = false;
    }
  }
  this->SplitBundle(bundle, now);
  this->RetryOrGiveUpParts(bundle, now);
  this->CheckProgress(now);
}

}  // namespace auburnyard
