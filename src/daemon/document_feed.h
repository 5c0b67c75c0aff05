#ifndef AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_
#define AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "auburnyard/backoff.h"
#include "auburnyard/clock.h"

namespace auburnyard {

/// State of the watch of one key prefix.
struct DocumentFeed {
  std::string_view prefix;
  std::chrono::milliseconds wait{0};
  Backoff backoff;
  std::uint64_t position = 0;  ///< 0: read everything
  bool read_done = false;
};

/// A watch call in progress.
struct WatchCall {
  std::size_t feed = 0;
  std::string_view prefix;
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
  TimePoint sent_at;
  /// Revisions in force when the call was sent.
  std::map<std::string, std::uint64_t, std::less<>> in_force;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_
