#include "src/cli/program.h"

#include <algorithm>
#include <exception>
#include <iomanip>
#include <map>
#include <ostream>

#include "auburnyard/error.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

constexpr std::string_view kVersion = "auburnyard 0.1.0";
constexpr int kNameColumnWidth = 20;

// New subcommands are added here.
std::vector<Command> AllCommands() {
  return {QueryCommand(),   IntentCommand(),        PlanCommand(),
          ConfirmCommand(), StatusCommand(),        ExplainCommand(),
          ReplayCommand(),  CheckSettingsCommand(), CheckConfigurationCommand(),
          LogCommand()};
}

std::vector<OptionSpec> CommonOptions() {
  return {{"host", "IP:port", "entry host to call"},
          {"key-file", "FILE", "file with the operator key"},
          {"timeout-ms", "N", "time to wait for an answer (default 30000)"},
          {"json", nullptr, "print the answer as JSON"},
          {"help", nullptr, "print this text"},
          {"version", nullptr, "print the version"}};
}

void PrintExitCodes(std::ostream& out) {
  std::map<int, std::string> kinds = {{0, "success"}};
  for (const ErrorDescription& error : AllErrors()) {
    std::string& names = kinds[error.exit_code];
    names += (names.empty() ? "" : ", ") + std::string(error.name);
  }
  out << "\nExit codes:\n";
  for (const auto& [code, names] : kinds) {
    out << "  " << std::left << std::setw(4) << code << names << '\n';
  }
}

void PrintHelp(std::ostream& out) {
  out << "Usage: auburnyard [OPTIONS] COMMAND [OPTIONS] [ARGUMENTS]\n\n"
         "Commands:\n";
  for (const Command& command : AllCommands()) {
    out << "  " << std::left << std::setw(kNameColumnWidth) << command.name
        << command.summary << '\n';
  }
  out << "\nOptions:\n" << DescribeOptions(CommonOptions());
  PrintExitCodes(out);
}

void PrintHelp(const Command& command, std::ostream& out) {
  out << "Usage: auburnyard " << command.name << " [OPTIONS] "
      << command.arguments << "\n\n"
      << command.summary << "\n\nOptions:\n"
      << DescribeOptions(command.options) << DescribeOptions(CommonOptions());
  PrintExitCodes(out);
}

void RunCommand(const Options& common, std::ostream& out) {
  std::vector<std::string> args = common.arguments();
  const std::vector<Command> commands = AllCommands();
  const auto command = std::find_if(commands.begin(), commands.end(),
                                    [&args](const Command& candidate) {
                                      return candidate.name == args.front();
                                    });
  if (command == commands.end()) {
    throw Error(ErrorKind::kBadRequest,
                "unknown command \"" + args.front() + "\"; see --help");
  }
  args.erase(args.begin());
  std::vector<OptionSpec> specs = command->options;
  for (const OptionSpec& spec : CommonOptions()) {
    specs.push_back(spec);
  }
  Options options = Options::Parse(args, specs, /*stop_at_argument=*/false);
  if (options.Has("help")) {
    PrintHelp(*command, out);
    return;
  }
  if (options.Has("version")) {
    out << kVersion << '\n';
    return;
  }
  options.Prepend(common);
  command->run(options, out);
}

void Run(const std::vector<std::string>& args, std::ostream& out) {
  const Options common =
      Options::Parse(args, CommonOptions(), /*stop_at_argument=*/true);
  if (common.Has("help")) {
    PrintHelp(out);
  } else if (common.Has("version")) {
    out << kVersion << '\n';
  } else if (common.arguments().empty()) {
    throw Error(ErrorKind::kBadRequest, "a command is required; see --help");
  } else {
    RunCommand(common, out);
  }
}

}  // namespace

int RunProgram(const std::vector<std::string>& args,
               std::ostream& out,
               std::ostream& err) {
  try {
    Run(args, out);
    return 0;
  } catch (const Error& error) {
    const ErrorDescription& description = DescribeError(error.kind());
    err << "auburnyard: " << description.name << ": " << error.what() << '\n';
    return description.exit_code;
  } catch (const std::exception& error) {
    err << "auburnyard: " << error.what() << '\n';
    return DescribeError(ErrorKind::kInternal).exit_code;
  }
}

}  // namespace auburnyard::cli
