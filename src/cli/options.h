#ifndef AUBURNYARD_SRC_CLI_OPTIONS_H_
#define AUBURNYARD_SRC_CLI_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::cli {

/// One option. Without `argument` it is a flag.
struct OptionSpec {
  const char* name;
  const char* argument;
  const char* help;
};

/// Parsed options and arguments of a command line. Options may be repeated.
class Options {
 public:
  /// Parses `words`, which exclude the program's name. With
  /// `stop_at_argument`, everything from the first argument on is an argument.
  /// Throws Error(kBadRequest).
  static Options Parse(const std::vector<std::string>& words,
                       const std::vector<OptionSpec>& specs,
                       bool stop_at_argument);

  bool Has(std::string_view name) const;
  /// Last value, or `fallback`.
  std::string Get(std::string_view name, std::string_view fallback) const;
  /// Throws Error(kBadRequest) if the option is absent.
  std::string Required(std::string_view name) const;
  std::vector<std::string> All(std::string_view name) const;
  /// Throws Error(kBadRequest) unless there are between `low` and `high`.
  const std::vector<std::string>& Arguments(std::size_t low,
                                            std::size_t high) const;
  const std::vector<std::string>& arguments() const { return this->rest; }
  /// Adds the values of `other` in front of the own ones.
  void Prepend(const Options& other);

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> values;
  std::vector<std::string> rest;
};

/// One line for each option.
std::string DescribeOptions(const std::vector<OptionSpec>& specs);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_OPTIONS_H_
