#include "src/net/log.h"

#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

std::string LinesOf(std::string_view level,
                    const std::function<void()>& log_some) {
  std::ostringstream stream;
  SetUpLogging(level, std::make_shared<spdlog::sinks::ostream_sink_mt>(stream));
  log_some();
  // Installs a logger that does not refer to the stream any more.
  SetUpLogging("error");
  return stream.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(log_test)

// Guards against caller-supplied text that breaks out of its field or its line.
BOOST_AUTO_TEST_CASE(FieldsAreEscaped) {
  const std::string hostile = "a\"b\\c\n{}%v\x01 \xff\xc3\xa9";
  const std::string line = LinesOf("info", [&hostile] {
    LogEvent(spdlog::level::warn, "refused",
             {{"detail", hostile}, {"status", 503}, {"ms", 1.5}});
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

// Guards against a level setting that is ignored or misread.
BOOST_AUTO_TEST_CASE(LevelIsApplied) {
  const std::string lines = LinesOf("warn", [] {
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
