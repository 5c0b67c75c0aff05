#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <boost/test/unit_test.hpp>

#include "src/net/log.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

using test::RelayServiceFixture;
using test::ScriptedReply;
using test::ScriptedServer;

constexpr std::chrono::milliseconds kTimeout{2'000};
constexpr std::size_t kLargeBody = 1'000'000;

std::string Failure(const std::string& request_head,
                    std::string_view status,
                    const std::string& body,
                    std::string_view headers = "") {
  return "HTTP/1.1 " + std::string(status) + "\r\n" +
         std::string(platform::kRequestId) + ": " +
         test::HeaderOf(request_head, platform::kRequestId) + "\r\n" +
         std::string(headers) + std::string(platform::kSignature) +
         ": t.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Answer to a request at a host whose only target replies with `script`.
CallerAnswer AskWith(ScriptedServer::Script script,
                     bool idempotent,
                     std::string* metrics = nullptr) {
  ScriptedServer server(std::move(script));
  RelayServiceFixture fixture;
  fixture.SetRoute(idempotent, kTimeout);
  fixture.targets.Upsert(RelayServiceFixture::Entry("t", server.address()));
  const auto answer = fixture.Ask("request-1");
  BOOST_TEST_REQUIRE(fixture.RunUntil([&] { return answer->has_value(); }));
  if (metrics != nullptr) {
    *metrics = fixture.metrics.Render();
  }
  return **answer;
}

std::string StatusOf(const CallerAnswer& answer) {
  return answer.head.substr(std::string_view("HTTP/1.1 ").size(), 3);
}

std::string SignatureOf(const CallerAnswer& answer) {
  return test::HeaderOf(answer.head, platform::kSignature);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(withheld_reply_test)

// Guards against a status of a target that has run a request which may run
// once, and that the caller repeats because the status says it has not run
// (review/14).
BOOST_AUTO_TEST_CASE(PromiseOfATargetIsReplaced) {
  for (const std::string_view status :
       {"503 Service Unavailable", "429 Too Many Requests",
        "408 Request Timeout"}) {
    for (const std::size_t size : {std::size_t{0}, kLargeBody}) {
      std::string metrics;
      const CallerAnswer answer = AskWith(
          [&](const std::string& head) {
            return ScriptedReply{Failure(head, status, std::string(size, 'x'))};
          },
          /*idempotent=*/false, &metrics);
      BOOST_TEST(StatusOf(answer) == "502", status);
      BOOST_TEST(SignatureOf(answer).empty());
      BOOST_TEST(answer.head.find("Retry-After") == std::string::npos);
      BOOST_TEST(answer.body.find("\"run\":\"unknown\"") != std::string::npos);
      BOOST_TEST(answer.body.find("unconfirmed_refusal") != std::string::npos);
      BOOST_TEST(metrics.find("auburnyard_relay_withheld_replies_total{status="
                              "\"" +
                              std::string(status.substr(0, 3)) + "\"} 1") !=
                 std::string::npos);
    }
  }
}

// Guards against callers that get less of a reply that promises nothing, or to
// a request that they may repeat.
BOOST_AUTO_TEST_CASE(OtherRepliesAreReturnedUnchanged) {
  for (const std::string_view status : {"500 Error", "502 Bad", "404 None"}) {
    const CallerAnswer answer = AskWith(
        [&](const std::string& head) {
          return ScriptedReply{Failure(head, status, "body")};
        },
        /*idempotent=*/false);
    BOOST_TEST(StatusOf(answer) == status.substr(0, 3));
    BOOST_TEST(SignatureOf(answer) == "t.1");
    BOOST_TEST(answer.body == "body");
  }
  for (const std::string_view status : {"503 Busy", "429 Slow", "408 Late"}) {
    const CallerAnswer answer = AskWith(
        [&](const std::string& head) {
          return ScriptedReply{Failure(head, status, "body")};
        },
        /*idempotent=*/true);
    BOOST_TEST(StatusOf(answer) == status.substr(0, 3));
    BOOST_TEST(SignatureOf(answer) == "t.1");
  }
}

// Guards against a truthful refusal whose caller is not told when to come back.
BOOST_AUTO_TEST_CASE(StatedRefusalStaysAPromise) {
  const std::string not_run = std::string(platform::kNotRun) + ": 1\r\n";
  const CallerAnswer answer = AskWith(
      [&](const std::string& head) {
        return ScriptedReply{Failure(head, "429 Slow", "", not_run)};
      },
      /*idempotent=*/false);
  BOOST_TEST(StatusOf(answer) == "503");
  BOOST_TEST(SignatureOf(answer).empty());
  BOOST_TEST(answer.head.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(answer.body.find("\"run\":\"not_run\"") != std::string::npos);
}

// Guards against a refusal that is taken for the target's word on a request
// that is with it: it follows bytes that belong to no request, or contradicts
// itself.
BOOST_AUTO_TEST_CASE(RefusalOfUnclearOriginPromisesNothing) {
  const std::string not_run = std::string(platform::kNotRun) + ": 1\r\n";
  const std::string unnamed =
      "HTTP/1.1 503 Busy\r\n" + not_run + "Content-Length: 0\r\n\r\n";
  const std::string other =
      Failure("\r\n" + std::string(platform::kRequestId) + ": other\r\n",
              "200 OK", "x");
  const CallerAnswer after_stray = AskWith(
      [&](const std::string&) { return ScriptedReply{other + unnamed}; },
      /*idempotent=*/false);
  BOOST_TEST(StatusOf(after_stray) == "502");
  const CallerAnswer contradiction = AskWith(
      [&](const std::string& head) {
        return ScriptedReply{Failure(head, "200 OK", "x", not_run)};
      },
      /*idempotent=*/false);
  BOOST_TEST(StatusOf(contradiction) == "502");
  const CallerAnswer cut = AskWith(
      [&](const std::string& head) {
        return ScriptedReply{
            Failure(head, "503 Busy", "", not_run).substr(0, 70),
            ScriptedReply::Then::kClose};
      },
      /*idempotent=*/false);
  BOOST_TEST(StatusOf(cut) == "502");
}

// Guards against the status of a target that answers before it has got the
// body, and against a truthful refusal that is lost because it came early.
BOOST_AUTO_TEST_CASE(EarlyReplyIsJudgedLikeAnyOther) {
  constexpr std::size_t kUnreadBody = 16'000'000;
  for (const bool stated : {false, true}) {
    const std::string headers =
        stated ? std::string(platform::kNotRun) + ": 1\r\n" : "";
    ScriptedServer server([&](const std::string& head) {
      return ScriptedReply{Failure(head, "503 Busy", "", headers)};
    });
    RelayServiceFixture fixture;
    fixture.SetRoute(/*idempotent=*/false, kTimeout);
    fixture.targets.Upsert(RelayServiceFixture::Entry("t", server.address()));
    const auto answer = fixture.Ask("request-1", std::string(kUnreadBody, 'x'));
    BOOST_TEST_REQUIRE(fixture.RunUntil([&] { return answer->has_value(); }));
    BOOST_TEST(StatusOf(**answer) == (stated ? "503" : "502"));
    BOOST_TEST(SignatureOf(**answer).empty());
    BOOST_TEST(server.connections() == 1);
  }
}

// Guards against a request that may be repeated and whose reply is given up,
// because its first target answered with a promise.
BOOST_AUTO_TEST_CASE(RepeatableRequestIsStillTriedElsewhere) {
  ScriptedServer busy([](const std::string& head) {
    return ScriptedReply{Failure(head, "503 Busy", "")};
  });
  ScriptedServer other(
      [](const std::string& head) { return test::TargetReply(head, "other"); });
  RelayServiceFixture fixture;
  fixture.service.SetBudgetLimits({.ratio = 10});
  fixture.SetRoute(/*idempotent=*/true, kTimeout);
  fixture.targets.Upsert(RelayServiceFixture::Entry("a", busy.address()));
  fixture.targets.Upsert(RelayServiceFixture::Entry("b", other.address()));
  for (int i = 0; i < 4; ++i) {
    const auto answer = fixture.Ask("request-" + std::to_string(i));
    BOOST_TEST_REQUIRE(fixture.RunUntil([&] { return answer->has_value(); }));
    BOOST_TEST(StatusOf(**answer) == "200", i);
  }
}

// Guards against withheld replies that operators cannot trace.
BOOST_AUTO_TEST_CASE(WithheldReplyIsLogged) {
  std::ostringstream output;
  SetUpLogging("info",
               std::make_shared<spdlog::sinks::ostream_sink_mt>(output));
  AskWith(
      [](const std::string& head) {
        return ScriptedReply{Failure(head, "503 Busy", "")};
      },
      /*idempotent=*/false);
  ShutDownLogging();
  const std::string text = output.str();
  const std::size_t line = text.find("\"event\":\"reply_withheld\"");
  BOOST_REQUIRE(line != std::string::npos);
  const std::string fields = text.substr(line, text.find('\n', line) - line);
  BOOST_TEST(fields.find("\"request\":\"request-1\"") != std::string::npos);
  BOOST_TEST(fields.find("\"target_status\":503") != std::string::npos);
  BOOST_TEST(fields.find("\"status\":502") != std::string::npos);
  BOOST_TEST(fields.find("s:t+") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
