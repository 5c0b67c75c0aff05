#ifndef AUBURNYARD_UTIL_COMMON_PROGRAM_H_
#define AUBURNYARD_UTIL_COMMON_PROGRAM_H_

#include <cstddef>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace auburnyard::util {

/// Runs the context on `threads` threads until SIGINT or SIGTERM.
void RunUntilSignal(boost::asio::io_context& context, std::size_t threads);

/// Runs `body` and returns its exit code. Errors are printed after the name of
/// the program.
int RunProgram(const char* program, const std::function<int()>& body);

/// Throws Error(kBadSettings) if the file cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_PROGRAM_H_
