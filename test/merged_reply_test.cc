#include <atomic>
#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <boost/test/unit_test.hpp>

#include "src/net/http_client.h"
#include "src/net/log.h"
#include "test/relay_service_fixture.h"
#include "test/target_pool_fixture.h"

namespace auburnyard {

namespace {

using test::PoolFixture;
using test::RelayServiceFixture;
using test::ScriptedReply;
using test::ScriptedServer;

constexpr std::chrono::milliseconds kCallTimeout{2'000};

struct Answer {
  const char* name;
  std::string status;
  std::string headers;  ///< ID stands for the identifier of the request
  std::string body;
};

std::string Encode(const Answer& answer, const std::string& id) {
  std::string headers = answer.headers;
  const std::size_t at = headers.find("ID");
  if (at != std::string::npos) {
    headers.replace(at, 2, id);
  }
  return "HTTP/1.1 " + answer.status + "\r\n" + headers + "\r\n" + answer.body;
}

const std::vector<Answer>& Answers() {
  static const std::vector<Answer> kAnswers = {
      {"success", "200 OK",
       "X-Auburnyard-Request-Id: ID\r\nX-Auburnyard-Server-Stamp: stamp\r\n"
       "Server-Leaving: 1\r\nX-Auburnyard-Warmup-Ms: 4000\r\n"
       "Content-Length: 7\r\n",
       "success"},
      {"stamp first", "200 OK",
       "X-Auburnyard-Server-Stamp: stamp\r\nX-Auburnyard-Request-Id: ID\r\n"
       "Content-Length: 5\r\n",
       "first"},
      {"chunked", "200 OK",
       "X-Auburnyard-Request-Id: ID\r\nX-Auburnyard-Server-Stamp: stamp\r\n"
       "Transfer-Encoding: chunked\r\n",
       "7\r\nchunked\r\n0\r\n\r\n"},
      {"refusal", "503 Service Unavailable",
       "X-Auburnyard-Not-Executed: 1\r\nX-Auburnyard-Request-Id: ID\r\n"
       "X-Auburnyard-Server-Load: 2,9,2\r\nContent-Length: 0\r\n",
       ""},
      {"misdirected", "421 Misdirected Request",
       "X-Auburnyard-Instance-Id: other\r\nX-Auburnyard-Request-Id: ID\r\n"
       "Content-Length: 0\r\n",
       ""},
      {"failure", "500 Internal Server Error",
       "X-Auburnyard-Server-Stamp: stamp\r\nX-Auburnyard-Request-Id: ID\r\n"
       "Content-Length: 7\r\n",
       "failure"},
      {"unnamed refusal", "503 Service Unavailable",
       "X-Auburnyard-Not-Executed: 1\r\nContent-Length: 0\r\n", ""},
      {"health", "200 OK",
       "X-Auburnyard-Instance-Id: t\r\nX-Auburnyard-Server-Load: 0,0,2\r\n"
       "Content-Length: 0\r\n",
       ""}};
  return kAnswers;
}

bool IsNamed(const Answer& answer) {
  return answer.headers.find("ID") != std::string::npos;
}

// Plays `size` bytes of a second copy of `earlier` before `later`, on the
// connection on which `earlier` was the reply to another request.
PoolFixture::Result PlayCut(const Answer& earlier,
                            std::size_t size,
                            const Answer& later) {
  const std::string sent = Encode(earlier, "1");
  std::atomic<int> calls{0};
  ScriptedServer server([&](const std::string&) {
    return ++calls == 1
               ? ScriptedReply{sent}
               : ScriptedReply{sent.substr(0, size) + Encode(later, "2")};
  });
  PoolFixture fixture(server.address());
  fixture.Exchange("1");
  return fixture.Exchange("2");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(merged_reply_test)

// Guards against the head of a reply that begins with the first bytes of
// another one: it may be a false refusal, so that the request runs twice
// (review/11), or an answer that no target gave (review/12).
BOOST_AUTO_TEST_CASE(NoCutOfACopyIsReadAsOneWithTheNextReply) {
  std::size_t merged = 0;
  for (const Answer& earlier : Answers()) {
    const std::size_t size = Encode(earlier, "1").size();
    for (const Answer& later : Answers()) {
      if (!IsNamed(later)) {
        continue;
      }
      const bool refusal =
          later.status.starts_with("503") || later.status.starts_with("421");
      for (std::size_t cut = 1; cut < size; ++cut) {
        const PoolFixture::Result result = PlayCut(earlier, cut, later);
        const bool lost = result.failure == PartFailure::kLost;
        const bool refused = result.failure == PartFailure::kRefused;
        const bool right =
            result.reply &&
            std::to_string(result.reply->status) == later.status.substr(0, 3) &&
            later.body.find(result.reply->body) != std::string::npos &&
            result.reply->signature == "stamp" && !refusal;
        if (!lost && !(refusal ? refused : right)) {
          ++merged;
          BOOST_ERROR(std::string(earlier.name) + " cut after " +
                      std::to_string(cut) + " before " + later.name);
        }
      }
    }
  }
  BOOST_TEST(merged == 0U);
}

// Guards against copies without a cut that are taken for the reply.
BOOST_AUTO_TEST_CASE(WholeCopyIsSkipped) {
  for (const Answer& earlier : Answers()) {
    const PoolFixture::Result result =
        PlayCut(earlier, Encode(earlier, "1").size(), Answers().front());
    // One that names no request breaks a new connection off.
    BOOST_TEST(
        (result.reply.has_value() || result.failure == PartFailure::kLost),
        earlier.name);
    if (result.reply) {
      BOOST_TEST(result.reply->body == "success");
    }
    BOOST_TEST((result.reply.has_value() || !IsNamed(earlier)), earlier.name);
  }
}

// Guards against two heads read as one in any other way, and against replies of
// an honest target that are turned away.
BOOST_AUTO_TEST_CASE(RepeatedFieldsAreNoReply) {
  const auto exchange = [](const std::string& headers) {
    ScriptedServer server([&](const std::string&) {
      return ScriptedReply{"HTTP/1.1 200 OK\r\n" + headers +
                           "Content-Length: 0\r\n\r\n"};
    });
    PoolFixture fixture(server.address());
    return fixture.Exchange("2").reply.has_value();
  };
  const std::string id = "X-Auburnyard-Request-Id: 2\r\n";
  for (const char* field :
       {"X-Auburnyard-Server-Stamp: a\r\n",
        "X-Auburnyard-Server-Load: 1,1,1\r\n", "X-Auburnyard-Warmup-Ms: 1\r\n",
        "Server-Leaving: 1\r\n", "Auburnyard-Top-Records: 1\r\n",
        "X-Auburnyard-Instance-Id: t\r\n"}) {
    BOOST_TEST(exchange(id + field), field);
    BOOST_TEST(!exchange(id + field + field), field);
  }
  BOOST_TEST(!exchange(id + id));
  for (const char* field :
       {"Via: HTTP/1.1 gateway\r\n", "Server: HTTP/1.1\r\n",
        "X-Auburnyard-Part-Stamps: a\r\nX-Auburnyard-Part-Stamps: b\r\n",
        "Upgrade: HTTP/2.0, HTTP/1.1 x\r\n",
        "Set-Cookie: a\r\nSet-Cookie: b\r\n"}) {
    BOOST_TEST(exchange(id + field), field);
  }
}

// Guards against heads that are turned away without a trace, and against what
// is believed of them: load, warm-up, leaving.
BOOST_AUTO_TEST_CASE(UnreadableReplyIsLoggedAndBelievedInNothing) {
  std::ostringstream output;
  SetUpLogging("info",
               std::make_shared<spdlog::sinks::ostream_sink_mt>(output));
  ScriptedServer server([](const std::string& head) {
    return ScriptedReply{
        "HTTP/1.1 503 Service UnavailaHTTP/1.1 200 OK\r\n"
        "X-Auburnyard-Request-Id: " +
        test::HeaderOf(head, platform::kRequestId) +
        "\r\nX-Auburnyard-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
        "X-Auburnyard-Warmup-Ms: 4000\r\nContent-Length: 0\r\n\r\n"};
  });
  RelayServiceFixture fixture;
  fixture.SetRoute(/*idempotent=*/false, kCallTimeout);
  fixture.targets.Upsert(RelayServiceFixture::Entry("t", server.address()));
  const auto answer = fixture.Ask("request-1");
  BOOST_REQUIRE(fixture.RunUntil([&] { return answer->has_value(); }));
  BOOST_TEST((*answer)->head.starts_with("HTTP/1.1 502"));
  const std::string metrics = fixture.metrics.Render();
  BOOST_TEST(metrics.find("auburnyard_relay_unreadable_replies_total 1") !=
             std::string::npos);
  BOOST_TEST(metrics.find("targets_leaving_total") == std::string::npos);
  ShutDownLogging();
  const std::string text = output.str();
  const std::size_t line = text.find("\"event\":\"reply_unreadable\"");
  BOOST_REQUIRE(line != std::string::npos);
  const std::string fields = text.substr(line, text.find('\n', line) - line);
  BOOST_TEST(fields.find("\"request\":\"request-1\"") != std::string::npos);
  BOOST_TEST(fields.find("\"target\":\"t\"") != std::string::npos);
  BOOST_TEST(fields.find("status line") != std::string::npos);
}

// Guards against an answer of the store that is read as one with bytes before
// it, or that are left from an earlier call.
BOOST_AUTO_TEST_CASE(CallsGetNoBytesOfEarlierResponses) {
  const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
  const std::string cut = "HTTP/1.1 200 OK\r\nX-Note: a";
  std::atomic<int> calls{0};
  ScriptedServer server([&](const std::string&) {
    const int call = ++calls;
    const std::string body = std::to_string(call);
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    // After the first response, one more; before the third, the start of one.
    return ScriptedReply{(call == 3 ? cut : "") + reply + body +
                         (call == 1 ? late : "")};
  });
  const HostPort address = ParseHostPort(server.address());
  boost::asio::io_context io;
  const auto connection =
      std::make_shared<HttpConnection>(io, address.host, address.port);
  std::vector<std::string> bodies;
  for (int i = 0; i < 4; ++i) {
    connection->Exchange({}, kCallTimeout, [&](const ExchangeResult& result) {
      bodies.push_back(result.error.empty() ? result.response.body : "lost");
    });
    io.restart();
    io.run();
  }
  const std::vector<std::string> expected = {"1", "2", "lost", "4"};
  BOOST_TEST(bodies == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
