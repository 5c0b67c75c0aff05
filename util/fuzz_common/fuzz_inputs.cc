#include "util/fuzz_common/fuzz_inputs.h"

#include <stdexcept>

#include "auburnyard/error.h"
#include "auburnyard/query.h"
#include "auburnyard/replay.h"
#include "src/daemon/settings.h"

namespace auburnyard {

namespace {

void Require(bool condition, const char* text) {
  if (!condition) {
    throw std::logic_error(text);
  }
}

}  // namespace

void FuzzTrace(std::string_view input) {
  Trace trace;
  try {
    trace = ParseTrace(input);
    Replay(trace);
  } catch (const Error&) {
    // Parsing may have succeeded before the replay rejected an event.
    if (trace.header.maps.empty()) {
      return;
    }
  }
  const std::string text = SerializeTrace(trace);
  Require(SerializeTrace(ParseTrace(text)) == text,
          "a trace changed by writing and reading");
}

void FuzzSettings(std::string_view input) {
  try {
    ParseSettings(input);
  } catch (const Error& error) {
    Require(error.kind() == ErrorKind::kBadSettings,
            "settings were refused with another error kind");
  }
}

void FuzzQuery(std::string_view input) {
  try {
    const QueryRequest request = ParseQueryRequest(input);
    Require(request.deadline.count() > 0 && request.deadline <= kMaxDeadline,
            "a deadline outside the limits was accepted");
    Require(request.query.size() <= kMaxQueryBytes,
            "a query text above the limit was accepted");
    Require(request.idempotent || !request.request_id.empty(),
            "a request without identifier was accepted");
  } catch (const Error& error) {
    Require(error.kind() == ErrorKind::kBadRequest,
            "a request was refused with another error kind");
  }
}

}  // namespace auburnyard
