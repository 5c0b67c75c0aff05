#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "src/net/http_client.h"
#include "test/front_fixture.h"
#include "test/message_table.h"
#include "test/scripted_server.h"

namespace auburnyard {

namespace {

using test::FrontFixture;
using test::MessageRow;
using test::ScriptedReply;
using test::ScriptedServer;

constexpr std::chrono::seconds kTimeout{10};  // terminates a hanging test
constexpr std::string_view kAfter =
    "GET /after HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
constexpr std::size_t kMinRows = 10;

std::vector<MessageRow> Rows(const std::string& heading) {
  return test::ReadMessageTable(
      std::string(TEST_SOURCE_DIR) + "/../docs/http-messages.md", heading);
}

std::string CorpusPath(const std::string& name) {
  return std::string(TEST_SOURCE_DIR) + "/../util/fuzz_http/corpus/" + name;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_messages_test)

// Guards against the bytes of a body that run as a request, and against proper
// requests that are no longer served (review/13).
BOOST_AUTO_TEST_CASE(RequestsAreReadAsTheTableSays) {
  FrontFixture fixture;
  const std::vector<MessageRow> rows = Rows("Requests");
  BOOST_TEST(rows.size() > kMinRows);
  for (const FrontFixture::Front front :
       {FrontFixture::Front::kRelay, FrontFixture::Front::kSettings}) {
    for (const MessageRow& row : rows) {
      BOOST_TEST_CONTEXT(row.name) {
        const auto result =
            fixture.Exchange(front, row.message + std::string(kAfter));
        const std::string start = "HTTP/1.1 " + row.columns.at(0) + " ";
        const bool served = row.columns.at(0) == "200";
        BOOST_TEST(result.received.substr(0, start.size()) == start);
        BOOST_TEST(result.handled.size() == (served ? 2U : 0U));
        BOOST_TEST(served == (row.columns.at(1) == "kept"));
      }
    }
  }
}

// Guards against trailer fields that become header fields.
BOOST_AUTO_TEST_CASE(TrailersAreDropped) {
  FrontFixture fixture;
  for (const MessageRow& row : Rows("Requests")) {
    if (!row.name.starts_with("trailer") || row.columns.at(0) != "200") {
      continue;
    }
    for (const FrontFixture::Front front :
         {FrontFixture::Front::kRelay, FrontFixture::Front::kSettings}) {
      const auto result =
          fixture.Exchange(front, row.message + std::string(kAfter));
      BOOST_TEST(result.heads.find("X-Sum") == std::string::npos);
      BOOST_TEST(result.heads.find("Request-Id") == std::string::npos);
      BOOST_TEST(result.handled.front() == "/a=ab");
    }
  }
}

// Guards against extensions without end, which no other limit counts.
BOOST_AUTO_TEST_CASE(ChunkExtensionsAreBounded) {
  FrontFixture fixture;
  std::string message =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) {
    message += "1;" + std::string(300, 'n') + "\r\nx\r\n";
  }
  message += "0\r\n\r\n";
  for (const FrontFixture::Front front :
       {FrontFixture::Front::kRelay, FrontFixture::Front::kSettings}) {
    const auto result = fixture.Exchange(front, message);
    BOOST_TEST(result.received.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(result.handled.empty());
  }
}

// Guards against replies of the store and of other hosts that are read beyond
// or short of their end.
BOOST_AUTO_TEST_CASE(RepliesAreReadAsTheTableSays) {
  const std::vector<MessageRow> rows = Rows("Replies");
  BOOST_TEST(rows.size() > kMinRows);
  for (const MessageRow& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      ScriptedServer server([&row](const std::string&) {
        return ScriptedReply{row.message, ScriptedReply::Then::kClose};
      });
      std::string body;
      try {
        const HttpResponse response =
            CallHttp(server.address(), HttpCall(), kTimeout);
        BOOST_TEST(response.Header("X-Auburnyard-Not-Executed").empty());
        body = response.body;
      } catch (const Error&) {
        body = "lost";
      }
      BOOST_TEST(body == (row.columns.at(0) == "read" ? "ab" : "lost"));
    }
  }
}

// Guards against rows that the fuzzer does not start from.
BOOST_AUTO_TEST_CASE(CorpusHoldsEachRequest) {
  std::size_t files = 0;
  for (const MessageRow& row : Rows("Requests")) {
    std::ifstream file(CorpusPath(row.name), std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(text.str() == row.message, row.name);
    ++files;
  }
  const auto entries = std::filesystem::directory_iterator(CorpusPath(""));
  BOOST_TEST(static_cast<std::size_t>(
                 std::distance(begin(entries), end(entries))) == files);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
