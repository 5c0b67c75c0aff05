#include <ostream>

#include "src/cli/print.h"
#include "src/cli/subcommands.h"
#include "src/daemon/settings.h"
#include "src/relay/relay_settings.h"

namespace auburnyard::cli {

namespace {

void CheckRelay(const std::string& path,
                const Options& options,
                std::ostream& out) {
  const RelaySettings settings = LoadRelaySettings(path);
  if (options.Has("json")) {
    PrintJson(boost::json::object{{"file", path},
                                  {"host", settings.host_name},
                                  {"failure_domain", settings.failure_domain},
                                  {"valid", true}},
              out);
    return;
  }
  out << path << ": valid; relaying host " << settings.host_name
      << " in domain " << settings.failure_domain << '\n';
}

void Run(const Options& options, std::ostream& out) {
  const std::string path = options.RequireArguments(1, 1).front();
  if (options.Has("relay")) {
    CheckRelay(path, options, out);
    return;
  }
  const Settings settings = LoadSettings(path);
  if (options.Has("json")) {
    PrintJson(boost::json::object{{"file", path},
                                  {"id", settings.id},
                                  {"domain", settings.domain},
                                  {"policy", ToString(settings.policy)},
                                  {"valid", true}},
              out);
    return;
  }
  out << path << ": valid; host " << settings.id << " in domain "
      << settings.domain << ", policy " << ToString(settings.policy) << '\n';
}

}  // namespace

Command CheckSettingsCommand() {
  return {.name = "check-settings",
          .arguments = "FILE",
          .summary = "Checks a settings file of auburnyardd.",
          .options = {{"relay", nullptr, "FILE belongs to a relaying host"}},
          .run = Run};
}

}  // namespace auburnyard::cli
