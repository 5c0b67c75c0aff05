#include "src/relay/target_pool.h"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "test/message_table.h"
#include "test/scripted_server.h"
#include "test/target_pool_fixture.h"

namespace auburnyard {

namespace {

using test::PoolFixture;
using test::ScriptedReply;
using test::ScriptedServer;

constexpr std::string_view kUnnamedRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Auburnyard-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

std::string Reply(std::string_view request_id,
                  std::string_view body,
                  std::string_view status = "200 OK",
                  std::string_view headers = "") {
  return "HTTP/1.1 " + std::string(status) +
         "\r\nX-Auburnyard-Request-Id: " + std::string(request_id) +
         "\r\nX-Auburnyard-Server-Stamp: stamp\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

PoolFixture::Result ExchangeWith(ScriptedReply reply) {
  ScriptedServer server([&reply](const std::string&) { return reply; });
  PoolFixture fixture(server.address());
  return fixture.Exchange();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_pool_test)

// Guards against the reply to an earlier request being returned for a later
// one.
BOOST_AUTO_TEST_CASE(ReplyToAnotherRequestIsSkipped) {
  const auto result =
      ExchangeWith({Reply("other", "wrong") + Reply("id", "right")});
  BOOST_REQUIRE(result.reply);
  BOOST_TEST(result.reply->body == "right");
}

// Guards against a truncated body being accepted as complete.
BOOST_AUTO_TEST_CASE(TruncatedReplyIsLost) {
  std::string bytes = Reply("id", "0123456789");
  bytes.resize(bytes.size() - 3);
  const auto result = ExchangeWith({bytes, ScriptedReply::Then::kClose});
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against a reply that breaks off in its head, or after it, being
// forwarded as a whole one with an empty or short body.
BOOST_AUTO_TEST_CASE(ReplyThatBreaksOffIsLost) {
  const std::string whole = Reply("id", "body", "200 OK", "X-Kept: 1\r\n");
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nX-Auburnyard-Request-Id: id\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& bytes : {whole, chunked}) {
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const auto result = ExchangeWith(
          {bytes.substr(0, size), size % 2 == 0 ? ScriptedReply::Then::kClose
                                                : ScriptedReply::Then::kReset});
      BOOST_TEST((result.failure == PartFailure::kLost), size);
      BOOST_TEST(!result.reply.has_value(), size);
    }
  }
}

// Guards against a target that sends an endless reply: a host that reads on
// exhausts its memory and never answers the caller.
BOOST_AUTO_TEST_CASE(EndlessRepliesAreAborted) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Auburnyard-Request-Id: id\r\n";
  const std::string filler(10'000, 'x');
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"", filler},
      {"", std::string(10'000, '\0')},
      {"HTTP/1.1 200 ", filler},
      {head, "Field: " + filler + "\r\n"},
      {head + "Field: ", filler},
      {head + "\r\n", filler},
      {head + "Transfer-Encoding: chunked\r\n\r\n",
       "2710\r\n" + filler + "\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nField: ", filler},
      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "Field: " + filler + "\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", Reply("other", filler)}};
  for (const auto& [start, repeated] : endless) {
    const auto result =
        ExchangeWith({start, ScriptedReply::Then::kRepeat, repeated});
    BOOST_TEST((result.failure == PartFailure::kLost),
               start + repeated.substr(0, 20));
  }
}

// Guards against refusing replies that are delimited by the end of their
// connection.
BOOST_AUTO_TEST_CASE(ReplyWithoutLengthEndsWithItsConnection) {
  const auto result = ExchangeWith(
      {"HTTP/1.1 200 OK\r\nX-Auburnyard-Request-Id: id\r\n\r\nwhole",
       ScriptedReply::Then::kClose});
  BOOST_REQUIRE(result.reply);
  BOOST_TEST(result.reply->body == "whole");
}

// Guards against a reset being taken for the end of a reply without a length.
BOOST_AUTO_TEST_CASE(ResetReplyWithoutLengthIsLost) {
  const auto result = ExchangeWith(
      {"HTTP/1.1 200 OK\r\nX-Auburnyard-Request-Id: id\r\n\r\npart",
       ScriptedReply::Then::kReset});
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against extra bytes after a reply being taken for the next reply.
BOOST_AUTO_TEST_CASE(ExtraBytesCloseTheConnection) {
  ScriptedServer server([](const std::string&) {
    return ScriptedReply{Reply("id", "first") + Reply("id", "extra")};
  });
  PoolFixture fixture(server.address());
  BOOST_TEST(fixture.Exchange().reply->body == "first");
  BOOST_TEST(fixture.Exchange().reply->body == "first");
  BOOST_TEST(server.connections() == 2);
}

// Guards against opening a new connection for each request.
BOOST_AUTO_TEST_CASE(ConnectionIsKept) {
  ScriptedServer server(
      [](const std::string&) { return ScriptedReply{Reply("id", "body")}; });
  PoolFixture fixture(server.address());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(fixture.Exchange().reply->body == "body");
  }
  BOOST_TEST(server.connections() == 1);
}

// Guards against accepting a success that cannot be attributed to the request.
BOOST_AUTO_TEST_CASE(SuccessWithoutIdentifierIsLost) {
  const auto result =
      ExchangeWith({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"});
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against content-encoded bytes being taken for the target's own.
BOOST_AUTO_TEST_CASE(EncodedBodyIsNotPassedOn) {
  const auto result = ExchangeWith(
      {Reply("id", "zip", "200 OK", "Content-Encoding: gzip\r\n")});
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against a refusal being taken for a failed execution.
BOOST_AUTO_TEST_CASE(RefusalIsNotAnExecution) {
  const auto result = ExchangeWith({Reply("id", "", "503 Service Unavailable",
                                          "X-Auburnyard-Not-Executed: 1\r\n")});
  BOOST_TEST((result.failure == PartFailure::kRefused));
}

// Guards against requests to a target whose address is now used by another one.
BOOST_AUTO_TEST_CASE(WrongTargetIsReported) {
  ScriptedServer server([](const std::string&) {
    return ScriptedReply{Reply("id", "", "421 Misdirected Request")};
  });
  PoolFixture fixture(server.address());
  BOOST_TEST((fixture.Exchange().failure == PartFailure::kRefused));
  BOOST_TEST(fixture.wrong_target);
}

// Guards against reporting "may have run" for a request that was never sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionMeansNothingWasSent) {
  std::string address;
  {
    const ScriptedServer closed(
        [](const std::string&) { return ScriptedReply{}; });
    address = closed.address();
  }
  PoolFixture fixture(address);
  const auto result = fixture.Exchange();
  BOOST_TEST((result.failure == PartFailure::kUnreachable));
  BOOST_TEST(!result.sent);
}

// Guards against closing a connection for each cancelled attempt.
BOOST_AUTO_TEST_CASE(AbandonedExchangeKeepsItsConnection) {
  int answered = 0;
  ScriptedServer server([&answered](const std::string&) {
    return ScriptedReply{++answered == 1 ? Reply("first", "late")
                                         : Reply("id", "body")};
  });
  PoolFixture fixture(server.address());
  PoolFixture::Result abandoned;
  const TargetExchangePtr exchange = fixture.Submit(abandoned, "first");
  fixture.RunUntil([&abandoned] { return abandoned.sent; });
  fixture.pool->Abandon(exchange);
  fixture.RunUntil([&fixture] { return fixture.state->in_flight() == 0; });
  BOOST_TEST(!abandoned.reply.has_value());
  BOOST_TEST(!abandoned.failure.has_value());
  BOOST_TEST(fixture.Exchange().reply->body == "body");
  BOOST_TEST(server.connections() == 1);
}

// Guards against a request that runs twice, because late bytes of a target that
// name no request are taken for the refusal of the next one on the connection.
BOOST_AUTO_TEST_CASE(LateRefusalWithoutIdentifierIsSkipped) {
  int answered = 0;
  ScriptedServer server([&answered](const std::string&) {
    return ScriptedReply{++answered == 1 ? Reply("id", "first")
                                         : std::string(kUnnamedRefusal) +
                                               Reply("id", "second")};
  });
  PoolFixture fixture(server.address());
  BOOST_TEST(fixture.Exchange().reply->body == "first");
  const auto result = fixture.Exchange();
  BOOST_REQUIRE(result.reply);
  BOOST_TEST(result.reply->body == "second");
}

// Guards against the same if the real reply does not arrive, and against a
// caller that waits for it until its deadline.
BOOST_AUTO_TEST_CASE(RefusalWithoutIdentifierProvesNothingOnAUsedConnection) {
  int answered = 0;
  ScriptedServer server([&answered](const std::string&) {
    return ScriptedReply{++answered == 1 ? Reply("id", "first")
                                         : std::string(kUnnamedRefusal)};
  });
  PoolFixture fixture(server.address());
  BOOST_TEST(fixture.Exchange().reply->body == "first");
  const TimePoint begin = fixture.clock.Now();
  const auto result = fixture.Exchange();
  BOOST_TEST((result.failure == PartFailure::kLost));
  BOOST_TEST(ToMilliseconds(fixture.clock.Now() - begin) <
             ToMilliseconds(PoolFixture::kTimeout) / 4);
}

// Guards against replies of targets that are read beyond or short of their end.
BOOST_AUTO_TEST_CASE(RepliesAreReadAsTheTableSays) {
  const auto rows = test::ReadMessageTable(
      std::string(TEST_SOURCE_DIR) + "/../docs/http-messages.md", "Replies");
  BOOST_TEST(!rows.empty());
  for (const test::MessageRow& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      const auto result =
          ExchangeWith({row.message, ScriptedReply::Then::kClose});
      const bool read = row.columns.at(0) == "read";
      BOOST_TEST(result.reply.has_value() == read);
      BOOST_TEST((result.failure == PartFailure::kLost) == !read);
      if (result.reply) {
        BOOST_TEST(result.reply->body == "ab");
      }
    }
  }
}

// Guards against requests that are not repeated although their target refused
// them: on a new connection, no other request can be meant.
BOOST_AUTO_TEST_CASE(RefusalWithoutIdentifierHoldsOnANewConnection) {
  const auto result = ExchangeWith({std::string(kUnnamedRefusal)});
  BOOST_TEST((result.failure == PartFailure::kRefused));
}

// Guards against the same after bytes that belong to no request.
BOOST_AUTO_TEST_CASE(RefusalWithoutIdentifierProvesNothingAfterStrayBytes) {
  const auto result =
      ExchangeWith({Reply("other", "") + std::string(kUnnamedRefusal)});
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against a request that is repeated after a reply to it which cannot be
// true.
BOOST_AUTO_TEST_CASE(SuccessThatSaysNotRunIsLost) {
  const auto result = ExchangeWith(
      {Reply("id", "body", "200 OK", "X-Auburnyard-Not-Executed: 1\r\n")});
  BOOST_TEST(!result.reply.has_value());
  BOOST_TEST((result.failure == PartFailure::kLost));
}

// Guards against a broken reply that a caller gets as an answer, or that a part
// of a fan-out counts as one: its status is outside 200 to 599, or a 1xx claims
// to be the reply to the request.
BOOST_AUTO_TEST_CASE(ReplyWithInvalidStatusIsLost) {
  for (const std::string_view status :
       {"000 None", "001 Odd", "099 Odd", "100 Continue", "101 Switching",
        "103 Early Hints", "199 Odd", "600 Odd", "999 Odd"}) {
    for (const bool forwards_reply : {true, false}) {
      ScriptedServer server([status](const std::string&) {
        return ScriptedReply{Reply("id", "", status)};
      });
      PoolFixture fixture(server.address());
      PoolFixture::Result result;
      fixture.Submit(result, "id", forwards_reply);
      fixture.RunUntil([&result] { return result.reply || result.failure; });
      BOOST_TEST(!result.reply.has_value(), status);
      BOOST_TEST((result.failure == PartFailure::kLost), status);
      BOOST_TEST(fixture.pool->connections() == 0U, status);
    }
  }
  for (const std::string_view status : {"200 OK", "204 None", "599 Odd"}) {
    const auto result = ExchangeWith({Reply("id", "", status)});
    BOOST_TEST(result.reply.has_value(), status);
  }
}

// Guards against a reply that is lost because the target announced it, and
// against a target that sends announcements without end.
BOOST_AUTO_TEST_CASE(InformationalRepliesAreSkipped) {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const auto result =
      ExchangeWith({std::string(kContinue) + hints + Reply("id", "final")});
  BOOST_REQUIRE(result.reply.has_value());
  BOOST_TEST(result.reply->status == 200);
  BOOST_TEST(result.reply->body == "final");
  const auto ended =
      ExchangeWith({std::string(kContinue), ScriptedReply::Then::kClose});
  BOOST_TEST((ended.failure == PartFailure::kLost));
  const auto endless =
      ExchangeWith({hints, ScriptedReply::Then::kRepeat, hints});
  BOOST_TEST((endless.failure == PartFailure::kLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
