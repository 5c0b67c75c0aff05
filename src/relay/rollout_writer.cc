#include "src/relay/rollout_writer.h"

#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

// Shorter than that of registrations: a verdict must reach the store within a
// few seconds, and a repeated write does no harm.
constexpr std::chrono::milliseconds kCallTimeout{1'000};
constexpr std::size_t kMaxIdleConnections = 1;

std::string_view CallKind(RolloutWrite::Kind kind) {
  switch (kind) {
    case RolloutWrite::Kind::kStage:
      return "rollout_stage";
    case RolloutWrite::Kind::kReport:
      return "rollout_report";
    case RolloutWrite::Kind::kStatus:
      break;
  }
  return "rollout_status";
}

}  // namespace

RolloutWriter::RolloutWriter(const RelayContext& relay_context,
                             const StoreCodec& store_codec,
                             const StoreSchema& store_schema,
                             HostPort store_address,
                             RolloutTable& rollout_table,
                             Hooks writer_hooks)
    : context(relay_context),
      codec(store_codec),
      schema(store_schema),
      store(std::move(store_address)),
      table(rollout_table),
      hooks(std::move(writer_hooks)) {}

void RolloutWriter::Sweep() {
  if (!this->table.enabled()) {
    return;
  }
  for (const RolloutWrite& write :
       this->table.Poll(this->context.clock.Now(), this->hooks.targets)) {
    this->Write(write);
  }
}

void RolloutWriter::Write(const RolloutWrite& write) {
  ConnectionPtr connection;
  if (this->idle.empty()) {
    connection = std::make_shared<HttpConnection>(
        this->context.io, this->store.host, this->store.port);
    connection->ChargeTo(this->context.memory, "store");
  } else {
    connection = std::move(this->idle.back());
    this->idle.pop_back();
  }
  connection->Exchange(
      this->codec.encode_transaction(this->schema.encode_rollout(write)),
      kCallTimeout,
      [self = this->shared_from_this(), write,
       connection](const ExchangeResult& result) {
        self->OnResult(write, connection, result);
      });
}

void RolloutWriter::OnResult(const RolloutWrite& write,
                             const ConnectionPtr& connection,
                             const ExchangeResult& result) {
  if (result.error.empty() && result.reusable &&
      this->idle.size() < kMaxIdleConnections) {
    this->idle.push_back(connection);
  }
  const bool conflict =
      result.error.empty() && this->codec.conflict(result.response);
  const StoreCallOutcome outcome =
      conflict ? StoreCallOutcome::kSuccess : OutcomeOf(result);
  this->hooks.on_call(CallKind(write.kind), outcome);
  if (write.kind != RolloutWrite::Kind::kReport ||
      outcome != StoreCallOutcome::kSuccess) {
    LogEvent(spdlog::level::info, "rollout_write",
             {{"kind", CallKind(write.kind)},
              {"service", write.service},
              {"state", ToString(write.state)},
              {"stage", ToString(write.stage)},
              {"outcome", conflict ? "conflict" : ToString(outcome)}});
  }
  if (outcome != StoreCallOutcome::kSuccess) {
    this->table.OnWriteLost(write, this->context.clock.Now());
  }
}

}  // namespace auburnyard
