#include "src/net/platform_client.h"

#include <boost/test/unit_test.hpp>

#include "src/net/http_server.h"

namespace auburnyard {

namespace {

// A loopback server with answers set by the test, and a client connected to it.
struct Fixture {
  explicit Fixture(PlatformClientOptions options = {}) {
    this->server = std::make_shared<HttpServer>(
        this->context, HttpServerLimits(),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          this->max_open_connections = std::max(
              this->max_open_connections, this->server->open_connections());
          this->last = request;
          if (this->answer.status != 0) {
            respond(this->answer);
          } else {
            this->unanswered.push_back(respond);
          }
        });
    this->server->Listen("127.0.0.1", 0);
    this->client = this->MakeClient(this->server->port(), options);
  }
  ~Fixture() { this->client->Close(); }

  std::shared_ptr<PlatformClient> MakeClient(std::uint16_t port,
                                             PlatformClientOptions options) {
    return std::make_shared<PlatformClient>(
        this->context, HostPort{"127.0.0.1", port}, options);
  }
  template <typename Result, typename Send>
  Result Wait(const Send& send) {
    std::optional<Result> result;
    send([&result](Result done) { result = std::move(done); });
    while (!result) {
      this->context.run_one();
    }
    return *result;
  }
  GetResult Get(const std::string& key) {
    return this->Wait<GetResult>(
        [&](const auto& done) { this->client->Get(key, done); });
  }
  WriteResult Put() {
    return this->Wait<WriteResult>([this](const auto& done) {
      this->client->Put({.key = "k", .value = "v", .expect_version = 3}, done);
    });
  }

  boost::asio::io_context context;
  std::shared_ptr<HttpServer> server;
  std::shared_ptr<PlatformClient> client;
  HttpResponse answer;  // status 0: the server does not answer
  HttpRequest last;
  std::vector<HttpResponder> unanswered;
  std::size_t max_open_connections = 0;
};

const PlatformClientOptions kShortTimeout{.timeout =
                                              std::chrono::milliseconds(50)};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_client_test)

// Guards against an HTTP status that is mapped to the wrong result. Above all,
// a write with an ambiguous answer must not count as failed.
BOOST_AUTO_TEST_CASE(AnswersByStatus) {
  struct Case {
    int status;
    std::string body;
    PlatformStatus read;
    PlatformStatus write;
  };
  using enum PlatformStatus;
  const Case cases[] = {{200, R"({"value": "x", "version": 4})", kOk, kOk},
                        {200, "not JSON", kUnavailable, kUnknown},
                        {200, "{}", kUnavailable, kUnknown},
                        {400, "{}", kRejected, kRejected},
                        {404, "{}", kNotFound, kNotFound},
                        {408, "{}", kUnavailable, kUnknown},
                        {409, "{}", kConflict, kConflict},
                        {429, "{}", kUnavailable, kUnknown},
                        {500, "{}", kUnavailable, kUnknown},
                        {503, "{}", kUnavailable, kUnknown}};
  Fixture fixture;
  for (const Case& row : cases) {
    fixture.answer = {.status = row.status, .body = row.body};
    BOOST_TEST_CONTEXT(row.status << ' ' << row.body) {
      BOOST_TEST((fixture.Get("k").status == row.read));
      BOOST_TEST((fixture.Put().status == row.write));
    }
  }
  const PlatformCounters counters = fixture.client->counters();
  const auto& puts =
      counters.at(static_cast<std::size_t>(PlatformCallKind::kPut));
  BOOST_TEST(puts.at(static_cast<std::size_t>(kOk)) == 1U);
  BOOST_TEST(puts.at(static_cast<std::size_t>(kUnknown)) == 6U);
}

// Guards against a write with a lost reply that is reported as failed, and
// against a write that was never sent and is reported as unknown.
BOOST_AUTO_TEST_CASE(LostRepliesAndRefusedConnections) {
  Fixture fixture(kShortTimeout);
  fixture.answer.status = 0;
  BOOST_TEST((fixture.Put().status == PlatformStatus::kUnknown));
  BOOST_TEST((fixture.Get("k").status == PlatformStatus::kUnavailable));
  boost::asio::ip::tcp::acceptor closed(
      fixture.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t port = closed.local_endpoint().port();
  closed.close();
  fixture.client = fixture.MakeClient(port, kShortTimeout);
  BOOST_TEST((fixture.Put().status == PlatformStatus::kUnavailable));
}

// Guards against a burst of calls that opens a connection per call, and against
// an unbounded queue of waiting calls.
BOOST_AUTO_TEST_CASE(ConnectionsAndWaitingCallsAreBounded) {
  Fixture fixture({.calls = {.max_connections = 2, .max_waiting = 5}});
  fixture.answer = {.status = 404};
  std::array<int, kPlatformStatusCount> status_counts{};
  int done = 0;
  for (int i = 0; i < 10; ++i) {
    fixture.client->Get("k", [&status_counts, &done](const GetResult& result) {
      ++status_counts.at(static_cast<std::size_t>(result.status));
      ++done;
    });
  }
  while (done < 10) {
    fixture.context.run_one();
  }
  BOOST_TEST(fixture.max_open_connections <= 2U);
  BOOST_TEST(status_counts.at(
                 static_cast<std::size_t>(PlatformStatus::kNotFound)) == 7);
  BOOST_TEST(status_counts.at(
                 static_cast<std::size_t>(PlatformStatus::kUnavailable)) == 3);
}

// Guards against deviations from the service's request and response format.
BOOST_AUTO_TEST_CASE(FormatOfCalls) {
  Fixture fixture;
  fixture.answer = {.body = R"({"revision": 9, "events": [
      {"key": "a/b", "value": "x", "version": 2, "revision": 8},
      {"key": "a/c", "value": null, "version": 0, "revision": 9}]})"};
  const auto watch = fixture.Wait<WatchResult>([&](const auto& done) {
    fixture.client->Watch("a/", 7, std::chrono::milliseconds(10), done);
  });
  BOOST_TEST(fixture.last.Parameter("prefix") == "a/");
  BOOST_TEST(fixture.last.Parameter("after") == "7");
  BOOST_TEST(fixture.last.Parameter("timeout_ms") == "10");
  BOOST_TEST(watch.position == 9U);
  BOOST_REQUIRE(watch.entries.size() == 2U);
  BOOST_TEST(watch.entries[0].value == "x");
  BOOST_TEST(watch.entries[1].deleted);

  fixture.answer = {.body = R"({"value": "", "version": 1, "id": "l1"})"};
  fixture.Get("a/b c");
  BOOST_TEST(fixture.last.path == "/v1/kv/a/b%20c");
  fixture.Put();
  BOOST_TEST(fixture.last.body == R"({"value":"v","expect_version":3})");
  const auto lease = fixture.Wait<LeaseResult>([&](const auto& done) {
    fixture.client->CreateLease(std::chrono::milliseconds(500), done);
  });
  BOOST_TEST(lease.id == "l1");
  fixture.Wait<LeaseResult>(
      [&](const auto& done) { fixture.client->KeepLeaseAlive("l1", done); });
  BOOST_TEST(fixture.last.path == "/v1/leases/l1/keepalive");
  fixture.Wait<WriteResult>(
      [&](const auto& done) { fixture.client->Delete("k", 4, done); });
  BOOST_TEST(fixture.last.method == "DELETE");
  BOOST_TEST(fixture.last.Parameter("expect_version") == "4");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
