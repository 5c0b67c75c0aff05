#ifndef AUBURNYARD_UTIL_COMMON_COMMAND_LINE_H_
#define AUBURNYARD_UTIL_COMMON_COMMAND_LINE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::util {

/// One option of a program. An option without `argument` is a flag.
struct OptionSpec {
  const char* name;
  const char* argument;
  const char* help;
};

/// Parsed command line. Options may be repeated.
class CommandLine {
 public:
  /// Prints the help text and exits for --help. Throws Error(kBadSettings).
  CommandLine(int argc, const char** argv, std::span<const OptionSpec> specs);

  bool Has(std::string_view name) const;
  /// Last value of an option.
  std::string Get(std::string_view name, std::string_view fallback) const;
  std::uint64_t Integer(std::string_view name, std::uint64_t fallback) const;
  double Number(std::string_view name, double fallback) const;
  /// All values of a repeated option, in order.
  const std::vector<std::string>& All(std::string_view name) const;

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> values;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_COMMAND_LINE_H_
