#ifndef AUBURNYARD_SRC_RELAY_CALLER_ANSWER_H_
#define AUBURNYARD_SRC_RELAY_CALLER_ANSWER_H_

#include <chrono>
#include <string>

#include "auburnyard/error.h"

namespace auburnyard {

/// What a caller receives. The session adds the content length, the connection
/// header and the empty line.
struct CallerAnswer {
  std::string head;  ///< status line and headers, each with its line end
  std::string body;
};

/// An answer of this host's own, as problem details (RFC 9457). `retry_after`
/// is sent unless it is zero.
CallerAnswer MakeRefusal(int status,
                         std::string_view title,
                         std::string_view kind,
                         RunState run,
                         std::chrono::milliseconds retry_after);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_CALLER_ANSWER_H_
