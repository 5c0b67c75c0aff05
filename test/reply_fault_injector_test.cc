#include "util/target_standin/reply_fault_injector.h"

#include <boost/test/unit_test.hpp>

namespace auburnyard::util {

namespace {

HttpResponse ReplyTo(const std::string& attempt) {
  HttpResponse reply;
  reply.body = R"({"attempt":")" + attempt +
               R"(","snapshot":"s1","begin":0,"end":9,"items":[]})";
  reply.headers.emplace_back("X-Attempt-Id", attempt);
  return reply;
}

/// Delivers the replies of attempts a and b and returns the attempt identifiers
/// of the replies that their senders received.
std::vector<std::string> DeliverTwo(ReplyFault fault) {
  boost::asio::io_context context;
  ReplyFaultInjector reply_injector(context, 1);
  TargetFaults faults;
  faults.reply_fault = fault;
  std::vector<std::string> received(2);
  for (std::size_t i = 0; i < received.size(); ++i) {
    SubRequest request;
    request.attempt_id = i == 0 ? "a" : "b";
    reply_injector.Deliver(
        request, ReplyTo(request.attempt_id),
        [&received, i](const HttpResponse& reply) {
          received[i] = std::string(reply.Header("X-Attempt-Id"));
        },
        faults);
  }
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(reply_fault_injector_test)

// Guards against reply faults that are not injected: tests that expect faulty
// replies to be discarded would then pass without testing anything.
BOOST_AUTO_TEST_CASE(FaultsAlterDeliveredReplies) {
  using Attempts = std::vector<std::string>;
  BOOST_TEST((DeliverTwo(ReplyFault::kNone) == Attempts{"a", "b"}));
  BOOST_TEST((DeliverTwo(ReplyFault::kCrossed) == Attempts{"b", "a"}));
  BOOST_TEST((DeliverTwo(ReplyFault::kDuplicate) == Attempts{"a", "a"}));
  BOOST_TEST((DeliverTwo(ReplyFault::kWrongAttempt) ==
              Attempts{"a-wrong", "b-wrong"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::util
