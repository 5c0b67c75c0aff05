#include "util/fuzz_common/fuzz_inputs.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

using FuzzFunction = std::function<void(std::string_view)>;

// Changes, removes, repeats or inserts a few bytes.
std::string Mutate(std::string text, std::mt19937_64& random) {
  constexpr std::string_view kTokens = "{}[]\",:\r\n\\0129-+eE.\x00\xff ";
  for (std::uint64_t i = random() % 4 + 1; i > 0; --i) {
    const std::size_t at = text.empty() ? 0 : random() % text.size();
    switch (random() % 4) {
      case 0:
        text.insert(at, 1, kTokens[random() % kTokens.size()]);
        break;
      case 1:
        text.erase(at, random() % 8);
        break;
      case 2:
        text.insert(at, text.substr(at, random() % 16));
        break;
      default:
        if (!text.empty()) {
          text[at] = static_cast<char>(random());
        }
    }
  }
  return text;
}

void RunMutations(const std::string& seed_input,
                  int runs,
                  const FuzzFunction& run) {
  std::mt19937_64 random(20260401);
  run(seed_input);
  for (int i = 0; i < runs; ++i) {
    const std::string input = Mutate(seed_input, random);
    BOOST_TEST_CONTEXT("input: " << input) {
      BOOST_CHECK_NO_THROW(run(input));
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fuzz_inputs_test)

// Guards against a trace file that ends the process or changes when written.
BOOST_AUTO_TEST_CASE(Traces) {
  for (const auto& entry : std::filesystem::directory_iterator(
           std::string(TEST_SOURCE_DIR) + "/traces")) {
    std::ifstream file(entry.path());
    std::ostringstream text;
    text << file.rdbuf();
    RunMutations(text.str(), 100, FuzzTrace);
  }
}

// Guards against a settings file that fails without naming the settings.
BOOST_AUTO_TEST_CASE(SettingsFiles) {
  RunMutations(R"({"id":"h1","domain":"d1","listen":"127.0.0.1:1",
    "peer_listen":"127.0.0.1:2","platform":"127.0.0.1:3","peers":["127.0.0.1:4"],
    "host_list":"127.0.0.1:5","fleet_key":"0123456789abcdef", // comment
    "operator_key":"0123456789abcdef","policy":"owner"})",
               1500, FuzzSettings);
}

// Guards against a request body that is accepted beyond a limit or ends the
// process.
BOOST_AUTO_TEST_CASE(QueryBodies) {
  RunMutations(R"({"service":"portal","query":"q","deadline_ms":100,
    "class":"urgent","min_coverage":0.5,"idempotent":false,
    "request_id":"1800000000000-a"})",
               3000, FuzzQuery);
}

// Guards against bytes on a connection that end the process or leave a session
// open after the client has closed.
BOOST_AUTO_TEST_CASE(HttpInput) {
  RunMutations(
      "POST /v1/query?a=%41 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
      "{ }\nGET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
      "\r\n",
      400, FuzzHttp);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
