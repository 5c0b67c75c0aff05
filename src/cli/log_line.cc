#include "src/cli/log_line.h"

#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace auburnyard::cli {

std::vector<LogLine> ReadLog(std::istream& input,
                             std::string_view host,
                             std::size_t& unreadable_lines) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    const std::size_t start = text.find('{');
    boost::system::error_code error;
    const boost::json::value value =
        start == std::string::npos
            ? boost::json::value()
            : boost::json::parse(std::string_view(text).substr(start), error);
    if (error || !value.is_object()) {
      unreadable_lines += text.empty() ? 0 : 1;
      continue;
    }
    LogLine line{.host = std::string(host), .fields = value.as_object()};
    std::istringstream prefix(text.substr(0, start));
    for (std::string word; prefix >> word;) {
      line.host = word;
    }
    line.time = GetString(line, "time");
    line.event = GetString(line, "event");
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string GetString(const LogLine& line, std::string_view field) {
  const boost::json::value* value = line.fields.if_contains(field);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

double GetNumber(const LogLine& line, std::string_view field) {
  const boost::json::value* value = line.fields.if_contains(field);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : 0.0;
}

bool GetFlag(const LogLine& line, std::string_view field) {
  const boost::json::value* value = line.fields.if_contains(field);
  return value != nullptr && value->is_bool() && value->as_bool();
}

}  // namespace auburnyard::cli
