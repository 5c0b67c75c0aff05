#include "src/cli/options.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <memory>
#include <sstream>

#include <popt.h>

#include "auburnyard/error.h"

namespace auburnyard::cli {

namespace {

std::vector<poptOption> BuildOptionTable(const std::vector<OptionSpec>& specs) {
  std::vector<poptOption> table;
  int code = 0;
  for (const OptionSpec& spec : specs) {
    const unsigned kind =
        spec.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back(
        {spec.name, '\0', kind, nullptr, ++code, spec.help, spec.argument});
  }
  table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return table;
}

std::vector<const char*> BuildArgv(const std::vector<std::string>& args) {
  std::vector<const char*> argv = {"auburnyard"};
  for (const std::string& arg : args) {
    argv.push_back(arg.c_str());
  }
  argv.push_back(nullptr);
  return argv;
}

}  // namespace

Options Options::Parse(const std::vector<std::string>& args,
                       const std::vector<OptionSpec>& specs,
                       bool stop_at_argument) {
  const std::vector<poptOption> table = BuildOptionTable(specs);
  std::vector<const char*> argv = BuildArgv(args);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("auburnyard", static_cast<int>(argv.size()) - 1,
                     argv.data(), table.data(),
                     stop_at_argument ? POPT_CONTEXT_POSIXMEHARDER : 0),
      poptFreeContext);
  Options options;
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> value(
        poptGetOptArg(context.get()), std::free);
    options.values[specs.at(static_cast<std::size_t>(code) - 1).name]
        .emplace_back(value ? value.get() : "");
  }
  if (code < -1) {
    throw Error(ErrorKind::kBadRequest,
                std::string(poptBadOption(context.get(), 0)) + ": " +
                    poptStrerror(code));
  }
  const char** positional = poptGetArgs(context.get());
  for (; positional != nullptr && *positional != nullptr; ++positional) {
    options.positional.emplace_back(*positional);
  }
  return options;
}

bool Options::Has(std::string_view name) const {
  return this->values.contains(name);
}

std::string Options::Get(std::string_view name,
                         std::string_view fallback) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? std::string(fallback)
                                     : found->second.back();
}

std::string Options::GetRequired(std::string_view name) const {
  if (!this->Has(name)) {
    throw Error(ErrorKind::kBadRequest,
                "--" + std::string(name) + " is required");
  }
  return this->Get(name, "");
}

std::vector<std::string> Options::GetAll(std::string_view name) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? std::vector<std::string>()
                                     : found->second;
}

const std::vector<std::string>& Options::RequireArguments(
    std::size_t min_count,
    std::size_t max_count) const {
  if (this->positional.size() < min_count) {
    throw Error(ErrorKind::kBadRequest, "an argument is missing; see --help");
  }
  if (this->positional.size() > max_count) {
    throw Error(
        ErrorKind::kBadRequest,
        "unexpected argument \"" + this->positional.at(max_count) + "\"");
  }
  return this->positional;
}

void Options::Prepend(const Options& other) {
  for (const auto& [name, list] : other.values) {
    std::vector<std::string>& existing = this->values[name];
    existing.insert(existing.begin(), list.begin(), list.end());
  }
}

std::string DescribeOptions(const std::vector<OptionSpec>& specs) {
  constexpr int kOptionColumnWidth = 28;
  std::ostringstream text;
  for (const OptionSpec& spec : specs) {
    const std::string value =
        spec.argument == nullptr ? "" : "=" + std::string(spec.argument);
    text << "  " << std::left << std::setw(kOptionColumnWidth)
         << "--" + std::string(spec.name) + value << ' ' << spec.help << '\n';
  }
  return text.str();
}

}  // namespace auburnyard::cli
