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
    bool forwards_reply = false;  ///< the reply's headers are forwarded
    std::uint32_t priority = 0;
    TimePoint arrival{};  ///< of the caller's request
    TimePoint deadline{};
    /// Time at which this host shuts down. A request whose reply usually takes
    /// longer is not sent.
    TimePoint stop = TimePoint::max();
    /// Estimate for the kind of request; null for bundles.
    std::shared_ptr<WorkEstimate> work;
    /// Requests with the same objective and number of records are of one kind,
    /// also on other hosts.
    std::string kind;
    /// Time at which the answer of another entry host is needed; max: at the
    /// deadline.
    TimePoint answer_by = TimePoint::max();
  };

  std::shared_ptr<const SharedRequest> request;
  std::function<void()> on_sent;
  /// Exactly one of them is called, unless the exchange is abandoned before;
  /// never during the submission.
  std::function<void(RelayReply)> on_reply;
  std::function<void(PartFailure)> on_failure;

  bool ended = false;
  TimePoint abandoned_at{};  ///< set only by Abandon

  /// Ends the exchange and calls its owner back, unless it has already ended.
  void Reply(RelayReply reply);
  void Fail(PartFailure failure);
  /// Ends the exchange without a callback.
  void Abandon(TimePoint now);

 private:
  void Clear();
};

using TargetExchangePtr = std::shared_ptr<TargetExchange>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_EXCHANGE_H_
