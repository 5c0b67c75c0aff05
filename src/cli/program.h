#ifndef AUBURNYARD_SRC_CLI_PROGRAM_H_
#define AUBURNYARD_SRC_CLI_PROGRAM_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace auburnyard::cli {

/// Runs the command line `args`, which exclude the program's name, and returns
/// the exit code.
int RunProgram(const std::vector<std::string>& args,
               std::ostream& out,
               std::ostream& err);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_PROGRAM_H_
