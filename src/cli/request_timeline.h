#ifndef AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_
#define AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_

#include <istream>
#include <set>
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

/// Lines about one request from the logs of several hosts.
struct RequestTimeline {
  std::vector<LogLine> lines;  ///< by time
  std::string cause;           ///< one phrase for the operator
};

/// Reads log lines that are JSON objects. The last word before the object is
/// the name of the host, `host` if there is none. Non-empty lines without an
/// object are counted in `unreadable_lines`.
std::vector<LogLine> ReadLog(std::istream& input,
                             std::string_view host,
                             std::size_t& unreadable_lines);

/// Returns the lines of the request and the last ones before it that report
/// changes of its missing targets, of its hosts and of the store.
RequestTimeline BuildRequestTimeline(std::vector<LogLine> lines,
                                     std::string_view request_id);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_
