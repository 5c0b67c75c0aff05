#include "auburnyard/trace.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "auburnyard/replay.h"

namespace auburnyard {

namespace {

std::string ReadTrace(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TracePath(std::string_view name) {
  return std::string(TEST_SOURCE_DIR) + "/traces/" + std::string(name) +
         ".jsonl";
}

std::string ErrorOf(const std::string& text) {
  try {
    Replay(ParseTrace(text));
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(trace_test)

// Guards against a change of the core that alters the decision of a recorded
// trace.
BOOST_AUTO_TEST_CASE(RecordedTracesReplayAsStated) {
  std::size_t traces = 0;
  for (const auto& entry : std::filesystem::directory_iterator(
           std::string(TEST_SOURCE_DIR) + "/traces")) {
    const ReplayReport report = Replay(ParseTrace(ReadTrace(entry.path())));
    BOOST_TEST(report.differences.empty(), entry.path().filename()
                                               << "\n"
                                               << FormatReplayReport(report));
    BOOST_TEST(report.outcomes > 0U);
    ++traces;
  }
  BOOST_TEST(traces >= 14U);
}

// Guards against a replay that overlooks differences: a stated outcome that the
// core did not produce and an action that the trace does not state must each be
// reported with their line.
BOOST_AUTO_TEST_CASE(DifferencesNameTheirLine) {
  std::string text = ReadTrace(TracePath("steady"));
  const std::string stated = R"("target":"b1","shard":"k1")";
  text.replace(text.find(stated), stated.size(),
               R"("target":"b2","shard":"k1")");
  const ReplayReport report = Replay(ParseTrace(text));
  BOOST_REQUIRE(report.differences.size() == 2U);
  BOOST_TEST(report.differences[0].line == 4U);
  BOOST_TEST(!report.differences[0].unstated);
  BOOST_TEST(report.differences[1].line == 2U);
  BOOST_TEST(report.differences[1].unstated);
}

// Guards against a serialized trace that cannot be parsed, or whose replay
// differs.
BOOST_AUTO_TEST_CASE(WrittenTraceReplaysWithoutDifference) {
  const Trace trace = ParseTrace(ReadTrace(TracePath("hedge")));
  const Trace again = ParseTrace(SerializeTrace(Replay(trace).actual));
  BOOST_TEST(SerializeTraceHeader(again.header) ==
             SerializeTraceHeader(trace.header));
  BOOST_TEST(Replay(again).differences.empty());
}

// Guards against error messages without the line number and the member.
BOOST_AUTO_TEST_CASE(ErrorsNameLineAndMember) {
  const std::string good = ReadTrace(TracePath("steady"));
  const std::string header = good.substr(0, good.find('\n') + 1);
  const std::string received = R"({"t_us":5,"event":"query_received"})";
  const auto error_after = [&](const std::string& lines) {
    return ErrorOf(header + lines);
  };
  BOOST_TEST(ErrorOf("") == "trace line 1: the header is missing");
  BOOST_TEST(ErrorOf("{}") ==
             "trace line 1: trace: required member is missing");
  BOOST_TEST(error_after(R"({"t_us":0,"event":"query"})") ==
             "trace line 2: event: unknown event \"query\"");
  BOOST_TEST(error_after(R"({"t_us":0,"event":"timer"})") ==
             "trace line 2: event: the first event must be query_received");
  BOOST_TEST(error_after(received + "\n\n" + R"({"t_us":4,"event":"timer"})") ==
             "trace line 4: t_us: earlier than that of the previous event");
  BOOST_TEST(error_after(received + "\n{\"t_us\":")
                 .starts_with("trace line 3: invalid JSON at line 1, column"));
  BOOST_TEST(
      error_after(received + "\n" +
                  R"({"t_us":5,"event":"result","target":"x","attempt":9})") ==
      "trace line 3: attempt: the query machine has not started this attempt");
  BOOST_TEST(error_after(R"({"t_us":0,"event":"timer","numbers":{"x":1}})") ==
             "trace line 2: numbers.x: unknown number");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
