#ifndef AUBURNYARD_SRC_CLI_COMMAND_H_
#define AUBURNYARD_SRC_CLI_COMMAND_H_

#include <functional>
#include <iosfwd>
#include <string_view>
#include <vector>

#include "src/cli/options.h"

namespace auburnyard::cli {

/// A subcommand.
struct Command {
  std::string_view name;
  std::string_view arguments;  ///< for the usage line
  std::string_view summary;
  std::vector<OptionSpec> options;  ///< besides the common ones
  /// Throws Error; its kind determines the exit code.
  std::function<void(const Options&, std::ostream& out)> run;
};

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_COMMAND_H_
