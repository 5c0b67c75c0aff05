#include "src/net/http_client.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "test/scripted_server.h"

namespace auburnyard {

namespace {

using test::ScriptedReply;
using test::ScriptedServer;

constexpr std::chrono::seconds kTestTimeout{20};  // terminates a hanging test

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client_test)

// Guards against a response that breaks off in its head, or after it, being
// taken for a whole one with an empty or short body.
BOOST_AUTO_TEST_CASE(ResponseThatBreaksOffIsAnError) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nContent-Length: 4\r\n\r\nbody";
  std::size_t size = 0;
  ScriptedServer server([&whole, &size](const std::string&) {
    return ScriptedReply{whole.substr(0, size), ScriptedReply::Then::kClose};
  });
  for (; size < whole.size(); ++size) {
    BOOST_CHECK_THROW(CallHttp(server.address(), {.path = "/"}, kTestTimeout),
                      Error);
  }
  BOOST_TEST(CallHttp(server.address(), {.path = "/"}, kTestTimeout).body ==
             "body");
}

// Guards against a response with a status that HTTP does not have, and against
// an informational one, being taken for the answer to a request.
BOOST_AUTO_TEST_CASE(OnlyFinalStatusesAreAnswers) {
  std::string bytes;
  ScriptedServer server(
      [&bytes](const std::string&) { return ScriptedReply{bytes}; });
  const auto with_status = [](std::string_view status) {
    return "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
  };
  for (const std::string_view status :
       {"000 None", "099 Odd", "101 Switching", "600 Odd", "999 Odd"}) {
    bytes = with_status(status);
    BOOST_CHECK_THROW(CallHttp(server.address(), {.path = "/"}, kTestTimeout),
                      Error);
  }
  bytes = with_status("100 Continue") + with_status("103 Early Hints") +
          with_status("204 None");
  BOOST_TEST(CallHttp(server.address(), {.path = "/"}, kTestTimeout).status ==
             204);
  bytes.clear();
  for (int i = 0; i < 100; ++i) {
    bytes += with_status("100 Continue");
  }
  BOOST_CHECK_THROW(CallHttp(server.address(), {.path = "/"}, kTestTimeout),
                    Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
