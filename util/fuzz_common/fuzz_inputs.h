#ifndef AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_INPUTS_H_
#define AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_INPUTS_H_

#include <string_view>

namespace auburnyard {

// Each function passes arbitrary bytes to one parser of external input.
// Rejection by Error is expected; any other exception, a crash or a violated
// invariant is a fault. A violated invariant throws std::logic_error.

/// Trace reader and replay. A trace that is read must be written and read back
/// unchanged.
void FuzzTrace(std::string_view input);
/// Settings parser.
void FuzzSettings(std::string_view input);
/// Parser of a caller's request. A request that is accepted keeps the limits.
void FuzzQuery(std::string_view input);
/// HTTP session on a loopback connection. The session must end.
void FuzzHttp(std::string_view input);

}  // namespace auburnyard

#endif  // AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_INPUTS_H_
