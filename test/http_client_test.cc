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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
