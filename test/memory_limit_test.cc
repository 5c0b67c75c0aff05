#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/net/http_connection.h"
#include "src/relay/caller_server.h"
#include "test/relay_service_fixture.h"

namespace auburnyard {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using test::RelayServiceFixture;
using test::ScriptedReply;
using test::ScriptedServer;
using test::TargetReply;

constexpr std::size_t kMegabyte = 1'024 * 1'024;
constexpr std::chrono::seconds kTestTimeout{20};  // terminates a hanging test

ScriptedReply EndlessReply(const std::string& head) {
  return {"HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestId) + ": " +
              test::HeaderOf(head, platform::kRequestId) +
              "\r\nTransfer-Encoding: chunked\r\n\r\n",
          ScriptedReply::Then::kRepeat,
          "2710\r\n" + std::string(10'000, 'x') + "\r\n"};
}

// The sound target "large", and "endless" in the near domain, which is chosen
// first.
class FloodFixture : public RelayServiceFixture {
 public:
  explicit FloodFixture(std::size_t reply_bytes)
      : large_reply(reply_bytes, 'y') {
    this->service.SetBudgetLimits(
        {.ratio = 2, .burst = 100, .window = std::chrono::seconds(10)});
    this->SetRoute(/*idempotent=*/true, milliseconds(10'000));
    TargetEntry far = Entry("large", this->large.address());
    far.failure_domain = "d2";
    this->targets.Upsert(far);
  }

  std::string large_reply;
  ScriptedServer endless{EndlessReply};
  ScriptedServer large{[this](const std::string& head) {
    return TargetReply(head, this->large_reply);
  }};
};

// Serves answers of a given size to callers.
class CallerFixture : public RelayServiceFixture {
 public:
  CallerFixture() {
    CallerServer::Hooks hooks;
    hooks.limits = [] {
      CallerLimits limits;
      limits.body_bytes = 16 * kMegabyte;
      return limits;
    };
    hooks.handle = [this](const CallerRequest& request,
                          const RelayService::Responder& respond) {
      ++this->handled;
      respond(
          {"HTTP/1.1 200 OK\r\n",
           std::string(request.path == "/large" ? 8 * kMegabyte : 10, 'z')});
      return std::function<void()>();
    };
    this->server = std::make_unique<CallerServer>(this->context, hooks);
    this->server->Listen({asio::ip::make_address("127.0.0.1"), 0});
  }
  asio::ip::tcp::socket Send(std::string_view bytes) {
    asio::ip::tcp::socket socket(this->client);
    socket.connect({asio::ip::make_address("127.0.0.1"), this->server->port()});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
  // Reads until the host closes the connection.
  std::string ReadAll(asio::ip::tcp::socket& socket) {
    std::string received;
    std::atomic<bool> done{false};
    std::jthread reader([&] {
      boost::system::error_code error;
      asio::read(socket, asio::dynamic_buffer(received), error);
      done = true;
    });
    BOOST_TEST(this->RunUntil([&done] { return done.load(); }));
    return received;
  }

  int handled = 0;
  asio::io_context client;
  std::unique_ptr<CallerServer> server;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_limit_test)

// Guards against an endless answer that fills the memory of the process
// although it is below the limit of its connection.
BOOST_AUTO_TEST_CASE(EndlessAnswerIsEndedAtTheLimitOfTheProcess) {
  FloodFixture fixture(/*reply_bytes=*/5);
  fixture.targets.Upsert(
      FloodFixture::Entry("endless", fixture.endless.address()));
  fixture.memory.SetLimit(kMegabyte);
  const auto answer = fixture.Ask("r");
  BOOST_REQUIRE(fixture.RunUntil([&answer] { return answer->has_value(); }));
  BOOST_TEST((*answer)->body == fixture.large_reply);
  BOOST_TEST(fixture.evicted == std::vector<std::string>{"endless"},
             boost::test_tools::per_element());
  BOOST_TEST(fixture.memory.used() == 0U);
}

// Guards against refusing a large answer that fits.
BOOST_AUTO_TEST_CASE(LargeAnswerPasses) {
  FloodFixture fixture(/*reply_bytes=*/6 * kMegabyte);
  fixture.memory.SetLimit(16 * kMegabyte);
  const auto answer = fixture.Ask("r");
  BOOST_REQUIRE(fixture.RunUntil([&answer] { return answer->has_value(); }));
  BOOST_TEST(((*answer)->body == fixture.large_reply));
  BOOST_TEST(fixture.evicted.empty());
}

// Guards against the loss of sound answers to what a faulty target sends.
BOOST_AUTO_TEST_CASE(SoundAnswersPassBesideAFlood) {
  FloodFixture fixture(/*reply_bytes=*/kMegabyte);
  fixture.targets.Upsert(
      FloodFixture::Entry("endless", fixture.endless.address()));
  fixture.memory.SetLimit(6 * kMegabyte);
  std::vector<RelayServiceFixture::AnswerPtr> answers;
  for (int i = 0; i < 10; ++i) {
    answers.push_back(fixture.Ask("r" + std::to_string(i)));
  }
  for (const auto& answer : answers) {
    BOOST_REQUIRE(fixture.RunUntil([&answer] { return answer->has_value(); }));
    BOOST_TEST(((*answer)->body == fixture.large_reply));
  }
  BOOST_TEST(!fixture.evicted.empty());
  for (const std::string& name : fixture.evicted) {
    BOOST_TEST(name == "endless");
  }
}

// Guards against callers that do not read their answers and so fill the memory.
BOOST_AUTO_TEST_CASE(CallersThatDoNotReadAreClosed) {
  constexpr std::size_t kCallers = 6;
  CallerFixture fixture;
  fixture.memory.SetLimit(20 * kMegabyte);
  std::vector<asio::ip::tcp::socket> slow;
  for (std::size_t i = 0; i < kCallers; ++i) {
    slow.push_back(fixture.Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"));
  }
  BOOST_TEST(fixture.RunUntil([&] {
    return fixture.handled == static_cast<int>(kCallers) &&
           fixture.evicted.size() >= kCallers - 2;
  }));
  BOOST_TEST(fixture.memory.used() <= fixture.memory.limit());
  asio::ip::tcp::socket sound =
      fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(fixture.ReadAll(sound).ends_with("zzzzzzzzzz"));
}

// Guards against a request body that is dropped without a true refusal.
BOOST_AUTO_TEST_CASE(RequestBeyondTheMemoryIsRefusedAsNotRun) {
  CallerFixture fixture;
  fixture.memory.SetLimit(kMegabyte);
  asio::ip::tcp::socket caller = fixture.Send(
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n");
  std::jthread writer([&caller] {
    const std::string part(100'000, 'b');
    boost::system::error_code error;
    for (int i = 0; i < 90 && !error; ++i) {
      asio::write(caller, asio::buffer(part), error);
    }
  });
  const std::string answer = fixture.ReadAll(caller);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer.substr(0, 100));
  BOOST_TEST(answer.find("Retry-After") != std::string::npos);
  BOOST_TEST(fixture.handled == 0);
}

// Guards against an answer on a connection on which no request waits for one.
BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedWithoutAnAnswer) {
  CallerFixture fixture;
  asio::ip::tcp::socket caller =
      fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(fixture.RunUntil([&fixture] { return fixture.handled == 1; }));
  fixture.RunFor(milliseconds(50));
  fixture.memory.SetLimit(0);
  BOOST_TEST(fixture.ReadAll(caller).ends_with("zzzzzzzzzz"));
  BOOST_TEST(fixture.evicted.size() == 1U);
}

// Guards against endless responses of the store, of mirrors and of quota
// servers.
BOOST_AUTO_TEST_CASE(EndlessResponseToACallEndsAtTheLimit) {
  RelayServiceFixture fixture;
  ScriptedServer server(EndlessReply);
  fixture.memory.SetLimit(kMegabyte);
  const std::size_t colon = server.address().rfind(':');
  auto connection = std::make_shared<HttpConnection>(
      fixture.io, "127.0.0.1",
      static_cast<std::uint16_t>(
          std::stoul(server.address().substr(colon + 1))));
  connection->ChargeTo(&fixture.memory, "store");
  std::optional<ExchangeResult> result;
  connection->Exchange(
      {.path = "/kv-watch"}, kTestTimeout,
      [&result](ExchangeResult done) { result = std::move(done); });
  BOOST_REQUIRE(fixture.RunUntil([&result] { return result.has_value(); }));
  BOOST_TEST(!result->error.empty());
  BOOST_TEST(fixture.evicted.size() == 1U);
  BOOST_TEST(fixture.memory.used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
