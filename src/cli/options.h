#ifndef AUBURNYARD_SRC_CLI_OPTIONS_H_
#define AUBURNYARD_SRC_CLI_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::cli {

/// A command-line option. Without `argument` it is a flag.
struct OptionSpec {
  const char* name;
  const char* argument;
  const char* help;
};

/// Parsed options and arguments of a command line. Options may be repeated.
class Options {
 public:
  /// Parses `args`, which exclude the program's name. With
  /// `stop_at_argument`, the first positional argument and all `args` after it
  /// are positional. Throws Error(kBadRequest).
  static Options Parse(const std::vector<std::string>& args,
                       const std::vector<OptionSpec>& specs,
                       bool stop_at_argument);

  bool Has(std::string_view name) const;
  /// Last value, or `fallback`.
  std::string Get(std::string_view name, std::string_view fallback) const;
  /// Throws Error(kBadRequest) if the option is absent.
  std::string GetRequired(std::string_view name) const;
  std::vector<std::string> GetAll(std::string_view name) const;
  /// Returns the positional arguments. Throws Error(kBadRequest) unless there
  /// are between `min_count` and `max_count` of them.
  const std::vector<std::string>& RequireArguments(std::size_t min_count,
                                                   std::size_t max_count) const;
  const std::vector<std::string>& arguments() const { return this->positional; }
  /// Inserts the values of `other` before the existing ones, which `Get`
  /// therefore prefers.
  void Prepend(const Options& other);

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> values;
  std::vector<std::string> positional;
};

/// Help text with one line for each option.
std::string DescribeOptions(const std::vector<OptionSpec>& specs);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_OPTIONS_H_
