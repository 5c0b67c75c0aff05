#ifndef AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_
#define AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "auburnyard/backoff.h"
#include "auburnyard/clock.h"

namespace auburnyard {

/// State of the watch of one key prefix.
struct DocumentFeed {
  std::string prefix;
  std::chrono::milliseconds wait{0};
  Backoff backoff;
  std::uint64_t position = 0;  ///< 0: everything is read
  bool read_done = false;
  TimePoint sent_at;
  /// Revision of the configuration in force when the call was sent.
  std::uint64_t sent_revision = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_DOCUMENT_FEED_H_
