#ifndef AUBURNYARD_SRC_CLI_LOG_LINE_H_
#define AUBURNYARD_SRC_CLI_LOG_LINE_H_

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace auburnyard::cli {

/// One line of a relaying host's log.
struct LogLine {
  std::string host;  ///< from the file's name or the line's prefix
  std::string time;
  std::string event;
  boost::json::object fields;
};

/// Reads log lines that are JSON objects. The last word before the object is
/// the name of the host, `host` if there is none. Non-empty lines without an
/// object are counted in `unreadable_lines`.
std::vector<LogLine> ReadLog(std::istream& input,
                             std::string_view host,
                             std::size_t& unreadable_lines);

/// Fields of a line; empty, zero or false if the line has none of the type.
std::string GetString(const LogLine& line, std::string_view field);
double GetNumber(const LogLine& line, std::string_view field);
bool GetFlag(const LogLine& line, std::string_view field);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_LOG_LINE_H_
