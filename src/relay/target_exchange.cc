#include "src/relay/target_exchange.h"

#include <utility>

namespace auburnyard {

// Breaks the reference cycle: the callbacks hold the owner, which holds this
// exchange.
void TargetExchange::Clear() {
  this->on_sent = nullptr;
  this->on_reply = nullptr;
  this->on_failure = nullptr;
}

void TargetExchange::Reply(RelayReply reply) {
  if (!std::exchange(this->ended, true)) {
    const auto callback = std::move(this->on_reply);
    this->Clear();
    callback(std::move(reply));
  }
}

void TargetExchange::Fail(PartFailure failure) {
  if (!std::exchange(this->ended, true)) {
    const auto callback = std::move(this->on_failure);
    this->Clear();
    callback(failure);
  }
}

void TargetExchange::Abandon(TimePoint now) {
  if (!std::exchange(this->ended, true)) {
    this->abandoned_at = now;
    this->Clear();
  }
}

}  // namespace auburnyard
