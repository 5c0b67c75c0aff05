#ifndef AUBURNYARD_SRC_CLI_LOSS_TABLE_H_
#define AUBURNYARD_SRC_CLI_LOSS_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "auburnyard/clock.h"
#include "src/cli/log_line.h"

namespace auburnyard::cli {

/// Requests and missing parts of one row of a loss table.
struct LossCount {
  std::uint64_t requests = 0;
  std::uint64_t parts = 0;

  bool operator==(const LossCount&) const = default;
};

/// What callers lost according to the logs of several hosts.
struct LossTable {
  struct Row {
    std::string route;
    std::string outcome;  ///< "missing parts", "late", or kind of the refusal
    std::string cause;    ///< a LossCause, or "-" if the log names none
    /// The losses of a host that fetched parts for another host. They are the
    /// causes behind `missing_from_bundle` and `bundle_late`.
    bool fetching = false;

    auto operator<=>(const Row&) const = default;
  };

  /// Rows by route, outcome and cause. A request with several causes counts in
  /// each of their rows.
  std::map<Row, LossCount> rows;
  /// Losses of callers by start of the window, in seconds since the first line.
  std::map<double, LossCount> windows;
  std::uint64_t omitted_requests = 0;  ///< not logged, because of the log limit
};

/// Summarizes the outcome lines of the logs.
LossTable BuildLossTable(std::span<const LogLine> lines, Duration window);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_LOSS_TABLE_H_
