#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_FAULT_INJECTOR_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_FAULT_INJECTOR_H_

#include <optional>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/net/http_server.h"
#include "util/target_standin/sub_request.h"
#include "util/target_standin/target_faults.h"

namespace auburnyard::util {

/// Delivers the results of one target and injects the reply faults that are
/// switched on. Not synchronized.
class ReplyFaultInjector {
 public:
  ReplyFaultInjector(boost::asio::io_context& context, std::uint64_t seed);

  void Deliver(const SubRequest& request,
               HttpResponse reply,
               const HttpResponder& respond,
               const TargetFaults& faults);
  /// Discards a reply that waits for its pair and the stored previous reply.
  void Clear();

 private:
  struct Delivery {
    HttpResponse reply;
    HttpResponder respond;
  };

  void DeliverLate(Delivery delivery, Duration delay);
  void DeliverDuplicate(Delivery delivery);
  void DeliverCrossed(Delivery delivery);

  boost::asio::io_context& context;
  std::mt19937_64 random;
  std::optional<Delivery> unpaired;
  std::optional<HttpResponse> previous_reply;
};

/// Returns the result with one field changed so that it contradicts the
/// request.
HttpResponse MismatchedReply(const SubRequest& request,
                             HttpResponse reply,
                             ReplyFault fault);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_FAULT_INJECTOR_H_
