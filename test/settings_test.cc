#include "src/daemon/settings.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

// Settings with one member replaced or added.
std::string With(std::string_view member) {
  return R"({ // comment
    "id": "h1", "domain": "a", "listen": "127.0.0.1:1",
    "peer_listen": "127.0.0.1:2", "platform": "127.0.0.1:3",
    "host_list": "127.0.0.1:4", "fleet_key": "0123456789abcdef",
    "operator_key": "0123456789abcdef")" +
         std::string(member.empty() ? "" : ",") + std::string(member) + "}";
}

std::string ErrorOf(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(CommentsAndDefaultsAreAccepted) {
  const Settings settings = ParseSettings(With(""));
  BOOST_TEST(settings.id == "h1");
  BOOST_TEST((settings.policy == SharingPolicy::kOwner));
}

// Guards against settings that are ignored or replaced by a default without an
// error that names the place and the expected value.
BOOST_AUTO_TEST_CASE(FaultsAreNamed) {
  const std::pair<std::string, std::string> cases[] = {
      {With("\"polcy\": \"owner\""), "polcy: unknown member"},
      {With("\"policy\": \"best\""),
       "policy: expected one of \"random\", \"two_choice\", \"owner\""},
      {With("\"worker_threads\": 0"),
       "worker_threads: expected an integer from 1 to 64"},
      {With("\"worker_threads\": \"2\""),
       "worker_threads: expected an integer from 1 to 64"},
      {With("\"peers\": [\"x\"]"), "peers[0]: expected IP:port"},
      {R"({"id": "h1"})", "domain: required member is missing"},
      {"{\n\"id\": }", "invalid JSON at line 2, column 7: syntax error"},
  };
  for (const auto& [text, expected] : cases) {
    BOOST_TEST(ErrorOf(text) == expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
