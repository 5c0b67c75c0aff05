#ifndef AUBURNYARD_SRC_RELAY_TARGET_EXCHANGE_H_
#define AUBURNYARD_SRC_RELAY_TARGET_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "auburnyard/fan_out.h"

namespace auburnyard {

/// One attempt at one target, from its submission to its end.
struct TargetExchange {
  /// Parts that all attempts of a request share.
  struct SharedRequest {
    std::string head;
    std::string body;
    std::string request_id;
    bool head_method = false;
    bool idempotent = false;
    bool forwards_reply = false;  ///< the reply's own headers are needed
    std::uint32_t priority = 0;
    TimePoint deadline{};
    /// When the answer of another entry host is needed; max: at the deadline.
    TimePoint answer_by = TimePoint::max();
  };

  std::shared_ptr<const SharedRequest> request;
  std::function<void()> on_sent;
  /// Called once, unless the exchange was abandoned before; never from within
  /// the submission.
  std::function<void(RelayReply)> on_reply;
  std::function<void(PartFailure)> on_failure;

  bool ended = false;
  TimePoint abandoned_at{};  ///< set if it ended by being abandoned

  /// Ends the exchange and tells its owner, unless it has ended before.
  void Reply(RelayReply reply);
  void Fail(PartFailure failure);
  /// Ends it without telling the owner.
  void Abandon(TimePoint now);

 private:
  void Clear();
};

using TargetExchangePtr = std::shared_ptr<TargetExchange>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_EXCHANGE_H_
