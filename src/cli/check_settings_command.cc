#include <ostream>

#include "src/cli/print.h"
#include "src/cli/subcommands.h"
#include "src/daemon/settings.h"

namespace auburnyard::cli {

namespace {

void Run(const Options& options, std::ostream& out) {
  const std::string path = options.Arguments(1, 1).front();
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
          .options = {},
          .run = Run};
}

}  // namespace auburnyard::cli
