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

std::vector<poptOption> BuildTable(const std::vector<OptionSpec>& specs) {
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

std::vector<const char*> BuildArguments(const std::vector<std::string>& words) {
  std::vector<const char*> arguments = {"auburnyard"};
  for (const std::string& word : words) {
    arguments.push_back(word.c_str());
  }
  arguments.push_back(nullptr);
  return arguments;
}

}  // namespace

Options Options::Parse(const std::vector<std::string>& words,
                       const std::vector<OptionSpec>& specs,
                       bool stop_at_argument) {
  const std::vector<poptOption> table = BuildTable(specs);
  std::vector<const char*> arguments = BuildArguments(words);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("auburnyard", static_cast<int>(arguments.size()) - 1,
                     arguments.data(), table.data(),
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
  const char** rest = poptGetArgs(context.get());
  for (; rest != nullptr && *rest != nullptr; ++rest) {
    options.rest.emplace_back(*rest);
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

std::string Options::Required(std::string_view name) const {
  if (!this->Has(name)) {
    throw Error(ErrorKind::kBadRequest,
                "--" + std::string(name) + " is required");
  }
  return this->Get(name, "");
}

std::vector<std::string> Options::All(std::string_view name) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? std::vector<std::string>()
                                     : found->second;
}

const std::vector<std::string>& Options::Arguments(std::size_t low,
                                                   std::size_t high) const {
  if (this->rest.size() < low) {
    throw Error(ErrorKind::kBadRequest, "an argument is missing; see --help");
  }
  if (this->rest.size() > high) {
    throw Error(ErrorKind::kBadRequest,
                "unexpected argument \"" + this->rest.at(high) + "\"");
  }
  return this->rest;
}

void Options::Prepend(const Options& other) {
  for (const auto& [name, list] : other.values) {
    std::vector<std::string>& own = this->values[name];
    own.insert(own.begin(), list.begin(), list.end());
  }
}

std::string DescribeOptions(const std::vector<OptionSpec>& specs) {
  constexpr int kColumn = 28;
  std::ostringstream text;
  for (const OptionSpec& spec : specs) {
    const std::string value =
        spec.argument == nullptr ? "" : "=" + std::string(spec.argument);
    text << "  " << std::left << std::setw(kColumn)
         << "--" + std::string(spec.name) + value << ' ' << spec.help << '\n';
  }
  return text.str();
}

}  // namespace auburnyard::cli
