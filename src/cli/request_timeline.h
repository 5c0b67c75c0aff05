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

/// What the logs of several hosts say of one request.
struct RequestTimeline {
  std::vector<LogLine> lines;  ///< by time
  std::string cause;           ///< one sentence
};

/// Reads JSON lines; what stands before the object names the host, and `host`
/// names it where nothing does. Lines that hold no object are counted in
/// `unreadable`.
std::vector<LogLine> ReadLog(std::istream& input,
                             std::string_view host,
                             std::size_t& unreadable);

/// Lines of the request, and those shortly before it that tell what became of
/// the targets it lacked and of the store.
RequestTimeline ExplainRequest(std::vector<LogLine> lines,
                               std::string_view request_id);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_
