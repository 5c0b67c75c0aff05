#include "src/net/log.h"

#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

std::string CaptureLog(std::string_view level,
                       const std::function<void()>& write_log) {
  std::ostringstream stream;
  SetUpLogging(level, std::make_shared<spdlog::sinks::ostream_sink_mt>(stream));
  write_log();
  // Replaces the logger, which refers to the local stream.
  SetUpLogging("error");
  return stream.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(log_test)

// Guards against log injection: text from a caller that ends its field or line.
BOOST_AUTO_TEST_CASE(FieldsAreEscaped) {
  const std::string unsafe_text = "a\"b\\c\n{}%v\x01 \xff\xc3\xa9";
  const std::string line = CaptureLog("info", [&unsafe_text] {
    LogEvent(spdlog::level::warn, "refused",
             {{"detail", unsafe_text}, {"status", 503}, {"ms", 1.5}});
  });
  BOOST_TEST(std::count(line.begin(), line.end(), '\n') == 1);
  const boost::json::object object = boost::json::parse(line).as_object();
  BOOST_TEST(object.at("level").as_string() == "warn");
  BOOST_TEST(object.at("event").as_string() == "refused");
  BOOST_TEST(object.at("detail").as_string() ==
             "a\"b\\c\n{}%v\x01 \xEF\xBF\xBD\xc3\xa9");
  BOOST_TEST(object.at("status").as_int64() == 503);
  const boost::json::string& time = object.at("time").as_string();
  BOOST_TEST(time.size() == 27U);
  BOOST_TEST(time.back() == 'Z');
}

// Guards against a log level that is ignored or misinterpreted.
BOOST_AUTO_TEST_CASE(LevelIsApplied) {
  const std::string lines = CaptureLog("warn", [] {
    LogEvent(spdlog::level::info, "started");
    LogEvent(spdlog::level::err, "failed");
  });
  BOOST_TEST(std::count(lines.begin(), lines.end(), '\n') == 1);
  BOOST_TEST(lines.find("\"level\":\"error\",\"event\":\"failed\"") !=
             std::string::npos);
  BOOST_CHECK_THROW(SetUpLogging("loud"), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
