#include "util/common/command_line.h"

#include <charconv>
#include <cstdlib>
#include <memory>

#include <popt.h>

#include "auburnyard/error.h"

namespace auburnyard::util {

namespace {

std::vector<poptOption> BuildTable(std::span<const OptionSpec> specs) {
  std::vector<poptOption> table;
  int index = 0;
  for (const OptionSpec& spec : specs) {
    const unsigned kind =
        spec.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back(
        {spec.name, '\0', kind, nullptr, ++index, spec.help, spec.argument});
  }
  table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return table;
}

template <typename Value>
Value Parse(std::string_view name, const std::string& text) {
  Value value{};
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    throw Error(ErrorKind::kBadSettings,
                "--" + std::string(name) + ": expected a number");
  }
  return value;
}

}  // namespace

CommandLine::CommandLine(int argc,
                         const char** argv,
                         std::span<const OptionSpec> specs) {
  const std::vector<poptOption> table = BuildTable(specs);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext(nullptr, argc, argv, table.data(), 0), poptFreeContext);
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> argument(
        poptGetOptArg(context.get()), std::free);
    this->values[specs[static_cast<std::size_t>(code - 1)].name].emplace_back(
        argument ? argument.get() : "");
  }
  if (code < -1) {
    throw Error(ErrorKind::kBadSettings,
                std::string(poptBadOption(context.get(), 0)) + ": " +
                    poptStrerror(code));
  }
  if (const char* rest = poptGetArg(context.get()); rest != nullptr) {
    throw Error(ErrorKind::kBadSettings,
                std::string(rest) + ": unexpected argument");
  }
}

bool CommandLine::Has(std::string_view name) const {
  return this->values.contains(name);
}

std::string CommandLine::Get(std::string_view name,
                             std::string_view fallback) const {
  const auto& all = this->All(name);
  return all.empty() ? std::string(fallback) : all.back();
}

std::uint64_t CommandLine::Integer(std::string_view name,
                                   std::uint64_t fallback) const {
  return this->Has(name) ? Parse<std::uint64_t>(name, this->All(name).back())
                         : fallback;
}

double CommandLine::Number(std::string_view name, double fallback) const {
  return this->Has(name) ? Parse<double>(name, this->All(name).back())
                         : fallback;
}

const std::vector<std::string>& CommandLine::All(std::string_view name) const {
  static const std::vector<std::string> kNone;
  const auto found = this->values.find(name);
  return found == this->values.end() ? kNone : found->second;
}

}  // namespace auburnyard::util
