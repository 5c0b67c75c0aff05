#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "auburnyard/backoff.h"
#include "src/cli/program.h"
#include "src/net/http_server.h"

namespace auburnyard {

namespace {

struct CliResult {
  int code;
  std::string out;
  std::string err;
};

CliResult RunCli(const std::vector<std::string>& args) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = cli::RunProgram(args, out, err);
  return {code, out.str(), err.str()};
}

// A host on loopback that sends the same response to every request.
class FixedResponseHost {
 public:
  explicit FixedResponseHost(const HttpResponse& response)
      : server(std::make_shared<HttpServer>(
            this->context,
            HttpServerLimits(),
            [this, response](const HttpRequest& request,
                             const HttpResponder& respond) {
              this->last_request = request;
              respond(response);
            })) {
    this->server->Listen("127.0.0.1", 0);
    this->thread = std::jthread([this] { this->context.run(); });
  }
  ~FixedResponseHost() { this->context.stop(); }
  std::string host_option() const {
    return "--host=127.0.0.1:" + std::to_string(this->server->port());
  }

  HttpRequest last_request;

 private:
  boost::asio::io_context context;
  std::shared_ptr<HttpServer> server;
  std::jthread thread;
};

std::string KeyFile() {
  std::string path = std::string(TEST_BINARY_DIR) + "/cli_test.key";
  std::ofstream(path) << "secret-operator-key\n";
  return path;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cli_test)

// Guards against an invalid command line that is accepted, or whose error does
// not name the invalid part.
BOOST_AUTO_TEST_CASE(BadCommandLines) {
  struct Case {
    std::vector<std::string> args;
    std::string error;
  };
  const Case cases[] = {
      {{}, "a command is required"},
      {{"frob"}, "unknown command \"frob\""},
      {{"--frob"}, "--frob"},
      {{"status"}, "--host is required"},
      {{"status", "--host=nowhere"}, "expected IP:port"},
      {{"status", "--host=127.0.0.1:1", "extra"}, "\"extra\""},
      {{"status", "--host=127.0.0.1:1", "--timeout-ms=x"}, "--timeout-ms"},
      {{"confirm"}, "an argument is missing"},
      {{"plan", "a", "--host=127.0.0.1:1"}, "--key-file is required"},
      {{"plan", "a", "--host=127.0.0.1:1", "--key-file=/absent"},
       "/absent: cannot be read"},
      {{"intent"}, "an argument is missing"},
      {{"intent", "frob"}, "expected create, list"},
      {{"intent", "create", "a"}, "--author is required"},
      {{"intent", "create", "a", "--author=x"}, "expected domains"},
      {{"intent", "create", "a", "--author=x", "--serve=d", "--take-out=d"},
       "another action"},
      {{"intent", "create", "a", "--author=x", "--class-order=urgent"},
       "each priority class once"},
      {{"query", "q"}, "--service is required"},
      {{"query", "q", "--service=s", "--once"}, "request_id"},
      {{"query", "q", "--service=s", "--min-coverage=2"}, "min_coverage"},
      {{"check-settings", "/absent"}, "/absent: cannot be read"},
      {{"check-settings", "--relay", "/absent"}, "/absent: cannot be read"},
      {{"log", "/absent"}, "--request is required"},
      {{"log", "--losses", "--request=r", "/absent"}, "exclude each other"},
      {{"log", "--losses", "/absent"}, "/absent: cannot be read"},
      {{"log", "--request=r", "/absent"}, "/absent: cannot be read"}};
  for (const Case& row : cases) {
    const CliResult outcome = RunCli(row.args);
    BOOST_TEST(outcome.code == 2);
    BOOST_TEST(outcome.err.find(row.error) != std::string::npos, outcome.err);
    BOOST_TEST(outcome.out == "");
  }
}

// Guards against help that omits a command or an exit code.
BOOST_AUTO_TEST_CASE(HelpAndVersion) {
  const std::string help = RunCli({"--help"}).out;
  for (const char* const word :
       {"query", "intent", "plan", "confirm", "status", "check-settings", "log",
        "--key-file", "conflict", "unauthorized", "internal"}) {
    BOOST_TEST(help.find(word) != std::string::npos);
  }
  BOOST_TEST(RunCli({"intent", "--help"}).out.find("--take-out") !=
             std::string::npos);
  BOOST_TEST(RunCli({"--version"}).out.starts_with("auburnyard "));
}

// Guards against an exit code that differs from the error table.
BOOST_AUTO_TEST_CASE(ExitCodesFollowTheAnswer) {
  struct Case {
    int status;
    std::string body;
    int code;
  };
  const Case cases[] = {
      {409, R"({"kind": "conflict", "detail": "d"})", 5},
      {401, R"({"kind": "unauthorized", "detail": "d"})", 3},
      {503, R"({"kind": "platform_unavailable", "run": "not_run"})", 4},
      {500, R"({"kind": "internal"})", 70},
      {500, R"({"kind": "no such kind"})", 4},
      {502, "no JSON", 4},
      {200, R"({"changed": true, "confirmed_revision": 7})", 0}};
  for (const Case& row : cases) {
    FixedResponseHost host({.status = row.status, .body = row.body});
    const CliResult outcome = RunCli(
        {host.host_option(), "--key-file", KeyFile(), "confirm", "out:6:1f"});
    BOOST_TEST(outcome.code == row.code, row.body << ' ' << outcome.err);
    BOOST_TEST(host.last_request.path == "/v1/plans/out%3A6%3A1f/confirm");
    BOOST_TEST(host.last_request.Header("Authorization") ==
               "Bearer secret-operator-key");
  }
  BOOST_TEST(RunCli({"status", "--host=127.0.0.1:1"}).code == 4);
}

// Guards against an answer that is printed as if it were complete.
BOOST_AUTO_TEST_CASE(PartialAnswerIsPrinted) {
  FixedResponseHost host({.body = R"({"outcome": "partial", "service": "seats",
      "snapshot": "s1", "coverage": 0.75, "decision": "d1", "results": ["r"],
      "missing": [{"begin": 30, "end": 40}]})"});
  const CliResult outcome =
      RunCli({"query", "q", "--service=seats", host.host_option()});
  BOOST_TEST(outcome.code == 0);
  BOOST_TEST(outcome.out.starts_with("partial answer of seats"));
  BOOST_TEST(outcome.out.find("missing keys 30 to 40") != std::string::npos);
}

// Guards against retries without a delay, in lockstep or with a delay that
// grows without bound.
BOOST_AUTO_TEST_CASE(BackoffIsBoundedAndJittered) {
  Backoff backoff(1);
  Backoff other(2);
  bool differs = false;
  for (int i = 0; i < 100; ++i) {
    const auto delay = backoff.Next();
    BOOST_TEST((delay >= Backoff::kMinDelay && delay <= Backoff::kMaxDelay));
    BOOST_TEST((i < 6 || delay >= Backoff::kMaxDelay / 2));
    differs = differs || delay != other.Next();
  }
  BOOST_TEST(differs);
  backoff.Reset();
  BOOST_TEST((backoff.Next() <= 2 * Backoff::kMinDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
