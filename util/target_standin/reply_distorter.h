#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_DISTORTER_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_DISTORTER_H_

#include <optional>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/net/http_server.h"
#include "util/target_standin/sub_request.h"
#include "util/target_standin/target_faults.h"

namespace auburnyard::util {

/// Delivers the results of one target, with the reply faults that are switched
/// on. Not synchronized.
class ReplyDistorter {
 public:
  ReplyDistorter(boost::asio::io_context& context, std::uint64_t seed);

  void Deliver(const SubRequest& request,
               HttpResponse reply,
               const HttpResponder& respond,
               const TargetFaults& faults);
  /// Drops replies that are held back.
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
  std::optional<Delivery> held;
  std::optional<HttpResponse> previous;
};

/// Changes one field of a result so that it contradicts the request.
HttpResponse WrongReply(const SubRequest& request,
                        HttpResponse reply,
                        ReplyFault fault);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_REPLY_DISTORTER_H_
