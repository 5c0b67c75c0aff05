#include "src/cli/request_timeline.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace auburnyard::cli {

namespace {

std::vector<LogLine> ParseLines(const std::string& text,
                                std::string_view host) {
  std::istringstream input(text);
  std::size_t unreadable_lines = 0;
  return ReadLog(input, host, unreadable_lines);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_timeline_test)

// Guards against lines attributed to the wrong host, and against one unreadable
// line that hides all others.
BOOST_AUTO_TEST_CASE(PrefixNamesTheHost) {
  std::istringstream input(
      "  0.5 front-a-1 {\"time\":\"1\",\"event\":\"host_started\"}\n"
      "no object\n"
      "{\"time\":\"2\",\"event\":\"host_stopped\"}\n"
      "{\"time\":\n");
  std::size_t unreadable_lines = 0;
  const std::vector<LogLine> lines = ReadLog(input, "file", unreadable_lines);
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(lines[0].host == "front-a-1");
  BOOST_TEST(lines[1].host == "file");
  BOOST_TEST(unreadable_lines == 2U);
}

// Guards against a cause that does not state that the missing targets had left.
BOOST_AUTO_TEST_CASE(TargetsThatLeftAreNamed) {
  std::vector<LogLine> lines = ParseLines(
      R"({"time":"3","event":"request_refused","request":"r","kind":"coverage_too_low","lacking":"s:i-1+,i-2-"}
{"time":"9","event":"target_removed","target":"i-1"}
{"time":"1","event":"target_removed","target":"i-2"}
{"time":"1","event":"target_removed","target":"other"})",
      "a");
  const std::vector<LogLine> peer = ParseLines(
      R"({"time":"2","event":"request_impaired","request":"r","kind":"answered","missing":2,"lacking":""})",
      "b");
  lines.insert(lines.end(), peer.begin(), peer.end());
  const RequestTimeline timeline = BuildRequestTimeline(lines, "r");
  BOOST_REQUIRE(timeline.lines.size() == 3U);
  BOOST_TEST(timeline.lines[0].event == "target_removed");
  BOOST_TEST(timeline.lines[1].host == "b");
  BOOST_TEST(timeline.lines[2].event == "request_refused");
  BOOST_TEST(timeline.cause.find("had left") != std::string::npos);
}

// Guards against kinds of failure without a description of the cause.
BOOST_AUTO_TEST_CASE(EachKindHasACause) {
  const std::pair<std::string, std::string> cases[] = {
      {R"("kind":"no_configuration")", "not read a configuration"},
      {R"("kind":"outcome_unknown")", "ended without a reply"},
      {R"("kind":"no_capacity")", "no target"},
      {R"("kind":"answered","target_status":500)", "answered with a failure"},
      {R"("kind":"answered","missing":0,"lacking":"s:i-1+")", "late"},
      {R"("kind":"answered","missing":1,"lacking":"s:i-1+")",
       "parts of the answer are missing"},
      {R"("kind":"deadline_exceeded","lacking":"s:i-1+")",
       "slow or did not answer"}};
  for (const auto& [fields, expected] : cases) {
    const RequestTimeline timeline = BuildRequestTimeline(
        ParseLines(
            "{\"time\":\"1\",\"event\":\"request_refused\",\"request\":\"r\"," +
                fields + "}",
            "a"),
        "r");
    BOOST_TEST(timeline.cause.find(expected) != std::string::npos,
               timeline.cause);
  }
  BOOST_TEST(BuildRequestTimeline({}, "r").cause.find("no line") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard::cli
