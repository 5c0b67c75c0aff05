#include <algorithm>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>

#include "auburnyard/configuration_check.h"
#include "auburnyard/error.h"
#include "platform/documents.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

// All errors get the exit code of a file that cannot be read. Decoding errors
// name members and expected types, never their values.
RelayConfiguration Load(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw Error(ErrorKind::kBadRequest, path + ": the file cannot be read");
  }
  try {
    return platform::DecodeConfiguration(text.str());
  } catch (const Error& error) {
    throw Error(ErrorKind::kBadRequest, path + ": " + error.what());
  }
}

void Print(const std::vector<ConfigurationFinding>& findings,
           std::ostream& out) {
  for (const ConfigurationFinding& finding : findings) {
    out << ToString(finding.kind) << ": " << finding.entry << ": "
        << finding.text << '\n';
  }
}

boost::json::array ToJson(const std::vector<ConfigurationFinding>& findings) {
  boost::json::array list;
  for (const ConfigurationFinding& finding : findings) {
    list.push_back({{"kind", ToString(finding.kind)},
                    {"entry", finding.entry},
                    {"text", finding.text}});
  }
  return list;
}

void Run(const Options& options, std::ostream& out) {
  const std::string path = options.RequireArguments(1, 1).front();
  const RelayConfiguration configuration = Load(path);
  std::optional<RelayConfiguration> in_force;
  if (options.Has("against")) {
    in_force = Load(options.GetRequired("against"));
  }
  const std::vector<ConfigurationFinding> findings =
      CheckConfiguration(configuration, in_force ? &*in_force : nullptr);
  const auto errors = std::ranges::count(findings, FindingKind::kError,
                                         &ConfigurationFinding::kind);
  if (options.Has("json")) {
    PrintJson(boost::json::object{{"file", path},
                                  {"version", configuration.version},
                                  {"errors", errors},
                                  {"findings", ToJson(findings)}},
              out);
  } else {
    Print(findings, out);
    out << path << ": version " << configuration.version << ", " << errors
        << " errors, " << findings.size() << " findings\n";
  }
  if (errors > 0) {
    throw Error(ErrorKind::kCheckFailed,
                std::to_string(errors) + " errors in " + path);
  }
}

}  // namespace

Command CheckConfigurationCommand() {
  return {.name = "check-configuration",
          .arguments = "FILE",
          .summary = "Checks a configuration before the operator sends it.",
          .options = {{"against", "FILE", "configuration that is in force"}},
          .run = Run};
}

}  // namespace auburnyard::cli
