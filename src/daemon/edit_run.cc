#include "src/daemon/edit_run.h"

#include <utility>

#include "auburnyard/configuration_store.h"

namespace auburnyard {

namespace {

// With the delays of Backoff an edit ends within about 20 s.
constexpr std::size_t kMaxAttempts = 8;

}  // namespace

EditRun::EditRun(EditorHooks editor_hooks,
                 ConfigurationEdit configuration_edit,
                 ConfigurationEditor::Callback callback,
                 std::uint64_t seed)
    : hooks(std::move(editor_hooks)),
      edit(std::move(configuration_edit)),
      done(std::move(callback)),
      backoff(seed) {}

void EditRun::Read() {
  this->hooks.get(kConfigurationKey,
                  [self = this->shared_from_this()](const GetResult& result) {
                    self->OnRead(result);
                  });
}

void EditRun::ScheduleRead() {
  if (++this->attempts >= kMaxAttempts) {
    this->GiveUp("the edit failed after " + std::to_string(kMaxAttempts) +
                 " attempts");
    return;
  }
  this->hooks.schedule(this->backoff.Next(),
                       [self = this->shared_from_this()] { self->Read(); });
}

void EditRun::OnRead(const GetResult& result) {
  if (result.status == PlatformStatus::kOk) {
    std::shared_ptr<const Configuration> current;
    try {
      current = std::make_shared<const Configuration>(
          ParseConfiguration(result.entry.value));
    } catch (const Error& error) {
      this->Fail(ErrorKind::kConflict,
                 std::string("the stored configuration is malformed: ") +
                     error.what());
      return;
    }
    this->OnContents(std::move(current), result.entry.version);
  } else if (this->pending) {
    this->ScheduleRead();
  } else if (result.status == PlatformStatus::kNotFound) {
    this->Fail(ErrorKind::kConflict, "the store does not have the document");
  } else {
    this->GiveUp(result.error);
  }
}

void EditRun::OnContents(std::shared_ptr<const Configuration> current,
                         std::uint64_t version) {
  if (this->pending && this->ResolvePending(current, version)) {
    return;
  }
  if (current->revision < this->hooks.revision()) {
    this->Fail(ErrorKind::kConflict,
               "the store was reverted to revision " +
                   std::to_string(current->revision) + "; revision " +
                   std::to_string(this->hooks.revision()) + " is in force");
    return;
  }
  this->Apply(current, version);
}

EditOutcome EditRun::PendingOutcome(const Configuration& current) const {
  if (current.nonce == this->pending->nonce) {
    return EditOutcome::kApplied;
  }
  if (current.revision < this->pending->base_revision) {
    return EditOutcome::kUndetermined;
  }
  // Each writer increments the revision by one, so the pending write would have
  // produced exactly this revision.
  if (current.revision <= this->pending->base_revision + 1) {
    return EditOutcome::kNotApplied;
  }
  try {
    return this->edit.outcome(current, this->pending->nonce);
  } catch (const Error&) {
    // The stored intent is malformed.
    return EditOutcome::kUndetermined;
  }
}

bool EditRun::ResolvePending(
    const std::shared_ptr<const Configuration>& current,
    std::uint64_t version) {
  const EditOutcome outcome = this->PendingOutcome(*current);
  if (outcome == EditOutcome::kApplied) {
    this->Succeed(current, true);
    return true;
  }
  if (outcome == EditOutcome::kUndetermined) {
    this->Fail(ErrorKind::kOutcomeUnknown,
               "the reply to the write was lost and later writes make its "
               "outcome undeterminable",
               current);
    return true;
  }
  if (version == this->pending->put.expect_version) {
    // The first write may still arrive. Both have the same expected version and
    // nonce, so only one of them takes effect.
    this->Write();
    return true;
  }
  // The stored version is past the expected one, so the write can no longer
  // take effect.
  this->pending.reset();
  return false;
}

void EditRun::Apply(const std::shared_ptr<const Configuration>& current,
                    std::uint64_t version) {
  PendingWrite write;
  write.nonce = this->hooks.nonce();
  std::optional<Configuration> changed;
  try {
    changed = this->edit.apply(*current, write.nonce);
  } catch (const Error& error) {
    this->Fail(error.kind(), error.what(), current);
    return;
  }
  if (!changed) {
    this->Succeed(current, false);
    return;
  }
  changed->revision = current->revision + 1;
  changed->nonce = write.nonce;
  write.base_revision = current->revision;
  write.put = {.key = std::string(kConfigurationKey),
               .value = SerializeConfiguration(*changed),
               .expect_version = version};
  write.written = std::make_shared<const Configuration>(std::move(*changed));
  this->pending = std::move(write);
  this->Write();
}

void EditRun::Write() {
  this->hooks.put(this->pending->put,
                  [self = this->shared_from_this()](const WriteResult& result) {
                    self->OnWritten(result);
                  });
}

void EditRun::OnWritten(const WriteResult& result) {
  PendingWrite& write = *this->pending;
  switch (result.status) {
    case PlatformStatus::kOk:
      this->Succeed(write.written, true);
      return;
    case PlatformStatus::kUnknown:
      write.outcome_unknown = true;
      break;
    default:
      break;
  }
  // The reply to a repeated write does not show the outcome of the first one.
  if (!write.outcome_unknown) {
    this->pending.reset();
    if (result.status == PlatformStatus::kUnavailable) {
      this->GiveUp(result.error);
      return;
    }
    if (result.status != PlatformStatus::kConflict) {
      this->Fail(ErrorKind::kProtocol,
                 "the platform's service refused the write: " + result.error);
      return;
    }
  }
  this->ScheduleRead();
}

void EditRun::Succeed(std::shared_ptr<const Configuration> configuration,
                      bool changed) {
  if (changed) {
    this->hooks.written({std::string(kConfigurationKey),
                         SerializeConfiguration(*configuration)});
  }
  this->done({.configuration = std::move(configuration), .changed = changed});
}

void EditRun::Fail(ErrorKind kind,
                   const std::string& detail,
                   std::shared_ptr<const Configuration> current) {
  this->done(
      {.error = kind, .detail = detail, .configuration = std::move(current)});
}

void EditRun::GiveUp(const std::string& detail) {
  const bool unknown = this->pending.has_value();
  this->Fail(
      unknown ? ErrorKind::kOutcomeUnknown : ErrorKind::kPlatformUnavailable,
      detail);
}

}  // namespace auburnyard
