#include "util/target_standin/reply_fault_injector.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace auburnyard::util {

namespace {

void SetHeader(HttpResponse& reply,
               std::string_view name,
               const std::string& value) {
  for (auto& [key, existing] : reply.headers) {
    if (key == name) {
      existing = value;
    }
  }
}

}  // namespace

ReplyFaultInjector::ReplyFaultInjector(boost::asio::io_context& io_context,
                                       std::uint64_t seed)
    : context(io_context), random(seed) {}

void ReplyFaultInjector::Clear() {
  this->unpaired.reset();
  this->previous_reply.reset();
}

HttpResponse MismatchedReply(const SubRequest& request,
                             HttpResponse reply,
                             ReplyFault fault) {
  boost::json::object body = boost::json::parse(reply.body).as_object();
  if (fault == ReplyFault::kWrongAttempt) {
    body["attempt"] = request.attempt_id + "-wrong";
    SetHeader(reply, "X-Attempt-Id", request.attempt_id + "-wrong");
  } else if (fault == ReplyFault::kWrongSnapshot) {
    body["snapshot"] = request.snapshot + "-wrong";
    SetHeader(reply, "X-Snapshot", request.snapshot + "-wrong");
  } else {
    body["begin"] = request.range.begin + 1;
  }
  reply.body = boost::json::serialize(body);
  return reply;
}

void ReplyFaultInjector::Deliver(const SubRequest& request,
                                 HttpResponse reply,
                                 const HttpResponder& respond,
                                 const TargetFaults& faults) {
  const double draw = std::uniform_real_distribution<double>()(this->random);
  const ReplyFault fault =
      draw < faults.reply_fault_share ? faults.reply_fault : ReplyFault::kNone;
  switch (fault) {
    case ReplyFault::kNone:
      respond(std::move(reply));
      return;
    case ReplyFault::kLate:
      this->DeliverLate({std::move(reply), respond}, faults.reply_delay);
      return;
    case ReplyFault::kDuplicate:
      this->DeliverDuplicate({std::move(reply), respond});
      return;
    case ReplyFault::kCrossed:
      this->DeliverCrossed({std::move(reply), respond});
      return;
    default:
      respond(MismatchedReply(request, std::move(reply), fault));
  }
}

void ReplyFaultInjector::DeliverLate(Delivery delivery, Duration delay) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context, delay);
  timer->async_wait(
      [timer, delivery = std::move(delivery)](boost::system::error_code) {
        delivery.respond(delivery.reply);
      });
}

void ReplyFaultInjector::DeliverDuplicate(Delivery delivery) {
  HttpResponse sent = this->previous_reply.value_or(delivery.reply);
  this->previous_reply = std::move(delivery.reply);
  delivery.respond(std::move(sent));
}

// Swaps the replies of two requests. The first reply waits for the second one
// without a time limit.
void ReplyFaultInjector::DeliverCrossed(Delivery delivery) {
  if (!this->unpaired) {
    this->unpaired = std::move(delivery);
    return;
  }
  const Delivery first = std::move(*this->unpaired);
  this->unpaired.reset();
  first.respond(std::move(delivery.reply));
  delivery.respond(first.reply);
}

}  // namespace auburnyard::util
