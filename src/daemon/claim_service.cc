#include "src/daemon/claim_service.h"

#include <utility>

namespace auburnyard {

ClaimService::ClaimService(boost::asio::io_context& context,
                           const Clock& host_clock,
                           ClaimOptions options,
                           ClaimStore claim_store,
                           std::function<WallTime()> wall_clock)
    : clock(host_clock),
      store(std::move(claim_store)),
      wall(std::move(wall_clock)),
      table(std::move(options)),
      timer(context) {}

void ClaimService::Claim(std::string_view id,
                         TimePoint deadline,
                         Callback callback) {
  std::vector<ClaimAction> actions;
  {
    const std::scoped_lock lock(this->mutex);
    const std::uint64_t ticket = this->next_ticket++;
    this->callbacks.emplace(ticket, std::move(callback));
    actions = this->table.Claim(ticket, id, deadline, this->wall(),
                                this->clock.Now());
  }
  this->Run(std::move(actions));
}

bool ClaimService::MayDispatch(const ClaimGranted& grant) const {
  return auburnyard::MayDispatch(grant, this->clock.Now());
}

void ClaimService::RecordOutcome(std::string_view id,
                                 const ClaimGranted& grant,
                                 ClaimState state,
                                 RunState run,
                                 std::string_view summary) {
  std::vector<ClaimAction> actions;
  {
    const std::scoped_lock lock(this->mutex);
    actions = this->table.RecordOutcome(id,
                                        {.nonce = grant.nonce,
                                         .state = state,
                                         .run = run,
                                         .summary = std::string(summary)},
                                        this->clock.Now());
  }
  this->Run(std::move(actions));
}

void ClaimService::SetWriteRate(double writes_per_second) {
  const std::scoped_lock lock(this->mutex);
  this->table.SetWriteRate(writes_per_second);
}

void ClaimService::SweepOne() {
  std::optional<std::string> key;
  {
    const std::scoped_lock lock(this->mutex);
    key = this->sweeper.Next(this->wall());
  }
  if (!key) {
    return;
  }
  const auto self = this->shared_from_this();
  this->store.read(*key, [self, key = *key](const StoreReply& reply) {
    if (reply.status == StoreStatus::kOk && !reply.value.empty()) {
      // A lost reply or a conflict leaves the key to the other sweeping host.
      self->store.write(key, "", reply.version, [](const StoreReply&) {});
    }
  });
}

std::size_t ClaimService::pending() const {
  const std::scoped_lock lock(this->mutex);
  return this->table.pending();
}

void ClaimService::OnTimer() {
  std::vector<ClaimAction> actions;
  {
    const std::scoped_lock lock(this->mutex);
    actions = this->table.OnTimer(this->clock.Now());
  }
  this->Run(std::move(actions));
}

void ClaimService::Run(std::vector<ClaimAction> actions) {
  for (const ClaimAction& action : actions) {
    std::visit([this](const auto& item) { this->Perform(item); }, action);
  }
  this->ArmTimer();
}

void ClaimService::Perform(const ReadClaims& action) {
  const auto self = this->shared_from_this();
  this->store.read(action.key, [self, key = action.key,
                                operation =
                                    action.operation](const StoreReply& reply) {
    std::vector<ClaimAction> actions;
    {
      const std::scoped_lock lock(self->mutex);
      actions = self->table.OnRead(key, operation, reply, self->clock.Now());
    }
    self->Run(std::move(actions));
  });
}

void ClaimService::Perform(const WriteClaims& action) {
  const auto self = this->shared_from_this();
  this->store.write(action.key, action.value, action.expect_version,
                    [self, key = action.key,
                     operation = action.operation](const StoreReply& reply) {
                      std::vector<ClaimAction> actions;
                      {
                        const std::scoped_lock lock(self->mutex);
                        actions = self->table.OnWritten(key, operation, reply,
                                                        self->clock.Now());
                      }
                      self->Run(std::move(actions));
                    });
}

void ClaimService::Perform(const ResolveClaim& action) {
  Callback callback;
  {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->callbacks.find(action.ticket);
    if (found == this->callbacks.end()) {
      return;
    }
    callback = std::move(found->second);
    this->callbacks.erase(found);
  }
  callback(action.verdict);
}

void ClaimService::ArmTimer() {
  const std::scoped_lock lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const std::optional<TimePoint> next = this->table.NextTimer(now);
  if (!next) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(std::max(*next - now, Duration::zero()));
  this->timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          self->OnTimer();
        }
      });
}

Refusal RefusalOf(const ClaimRepeated& repeated) {
  const ClaimEntry& entry = repeated.entry;
  Refusal refusal;
  if (entry.state == ClaimState::kClaimed) {
    refusal.kind = ErrorKind::kOutcomeUnknown;
    refusal.run = RunState::kUnknown;
    refusal.detail =
        "the identifier was claimed before and its outcome is not recorded";
    return refusal;
  }
  refusal.kind = ErrorKind::kDuplicateRequest;
  refusal.run = entry.state == ClaimState::kDone ? RunState::kRun : entry.run;
  refusal.detail = "recorded outcome: " + std::string(ToString(entry.state)) +
                   (entry.summary.empty() ? "" : ", " + entry.summary);
  return refusal;
}

Refusal RefusalOf(const ClaimRefused& refused) {
  Refusal refusal;
  refusal.kind = refused.kind;
  refusal.run = refused.run;
  refusal.detail = refused.detail;
  return refusal;
}

WallTime SystemWallTime() {
  return std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace auburnyard
