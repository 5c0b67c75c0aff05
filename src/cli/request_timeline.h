#ifndef AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_
#define AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/cli/log_line.h"

namespace auburnyard::cli {

/// Lines about one request from the logs of several hosts.
struct RequestTimeline {
  std::vector<LogLine> lines;  ///< by time
  std::string cause;           ///< one phrase for the operator
};

/// Returns the lines of the request and the last ones before it that report
/// changes of its missing targets, of its hosts and of the store.
RequestTimeline BuildRequestTimeline(std::vector<LogLine> lines,
                                     std::string_view request_id);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_REQUEST_TIMELINE_H_
