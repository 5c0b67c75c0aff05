#include <algorithm>
#include <utility>

#include "auburnyard/fan_out.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// An entry host answers with what it has when asked to, so its reply is later
// than this only if the host or the way to it is in trouble.
constexpr milliseconds kBundleGrace{15};
// Entry hosts promise with this status that no target ran the request.
constexpr int kStatusNotRun = 503;

}  // namespace

void FanOut::StartBundles() {
  this->bundles.reserve(this->request.bundles.size());
  for (const PartBundle& planned : this->request.bundles) {
    Bundle& bundle =
        this->bundles.emplace_back(Bundle{planned.host, planned.parts});
    for (const std::uint32_t part : bundle.parts) {
      this->parts[part].bundle = &bundle;
    }
    bundle.give_up_at = this->request.answer_by + kBundleGrace;
    this->hooks.send_bundle(
        static_cast<std::uint32_t>(this->bundles.size() - 1), bundle.host);
  }
}

void FanOut::OnBundleSent(std::uint32_t index) {
  Bundle& bundle = this->bundles[index];
  bundle.sent = true;
  for (const std::uint32_t part : bundle.parts) {
    this->parts[part].arrived = true;
    ++this->parts[part].executions;
  }
}

// The entry host may have tried as many targets as a part is allowed. Further
// attempts stay within that number only if no other target exists.
bool FanOut::MaySplit(const Bundle& bundle) const {
  if (!bundle.sent) {
    return true;
  }
  return std::all_of(bundle.parts.begin(), bundle.parts.end(),
                     [this](std::uint32_t part) {
                       return this->hooks.replicas(this->parts[part].service) <=
                              this->request.route->max_attempts;
                     });
}

void FanOut::SplitBundle(Bundle& bundle, TimePoint now) {
  bundle.give_up_at = TimePoint::max();
  if (bundle.split || !this->MaySplit(bundle)) {
    return;
  }
  bundle.split = true;
  if (bundle.open && !bundle.sent) {
    // It would reach further targets after its parts have.
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
  const bool usable =
      reply.success() && answered > 0 && answered <= bundle.parts.size();
  if (!usable) {
    this->OnBundleFailure(index,
                          reply.status == kStatusNotRun ? PartFailure::kRefused
                                                        : PartFailure::kLost,
                          now);
    return;
  }
  bundle.open = false;
  if (this->done) {
    return;
  }
  const auto held = static_cast<std::size_t>(std::count_if(
      bundle.parts.begin(), bundle.parts.end(), [this](std::uint32_t part) {
        return this->parts[part].held.has_value();
      }));
  // Its records cannot be told from those of the parts that came directly, so
  // that only one of the two can be used.
  if (held < answered) {
    this->TakeBundle(bundle, std::move(reply));
  } else {
    this->ContinueParts(bundle, now);
  }
  this->CheckProgress(now);
}

void FanOut::ContinueParts(const Bundle& bundle, TimePoint now) {
  for (const std::uint32_t index : bundle.parts) {
    Part& part = this->parts[index];
    if (this->done || part.settled || HasOpenAttempt(part)) {
      continue;
    }
    if (this->MaySplit(bundle)) {
      this->Continue(index, now);
    } else {
      ++this->failed_parts;
      this->Settle(part);
    }
  }
}

void FanOut::TakeBundle(Bundle& bundle, RelayReply reply) {
  this->merger.Add(reply.body);
  const std::size_t answered = reply.part_signatures.size();
  std::move(reply.part_signatures.begin(), reply.part_signatures.end(),
            std::back_inserter(this->signatures));
  for (const std::uint32_t index : bundle.parts) {
    Part& part = this->parts[index];
    if (!part.settled) {
      this->Settle(part);
    } else if (!part.answered) {
      --this->failed_parts;
    }
    part.answered = true;
    part.held.reset();
    this->AbandonAttempts(index);
  }
  this->failed_parts += bundle.parts.size() - answered;
}

void FanOut::TakeHeldParts() {
  for (Part& part : this->parts) {
    if (part.held) {
      this->TakePart(part, std::move(*part.held));
      part.held.reset();
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
      this->parts[part].arrived = false;
    }
  }
  this->SplitBundle(bundle, now);
  this->ContinueParts(bundle, now);
  this->CheckProgress(now);
}

}  // namespace auburnyard
