#ifndef AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_MAIN_H_
#define AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_MAIN_H_

#include <functional>
#include <string_view>

namespace auburnyard {

/// Passes each file named on the command line to `run`, to reproduce a finding
/// without the fuzzer. Returns the exit code.
int RunFuzzFiles(int argc,
                 char** argv,
                 const std::function<void(std::string_view)>& run);

}  // namespace auburnyard

#endif  // AUBURNYARD_UTIL_FUZZ_COMMON_FUZZ_MAIN_H_
