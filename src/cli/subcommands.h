#ifndef AUBURNYARD_SRC_CLI_SUBCOMMANDS_H_
#define AUBURNYARD_SRC_CLI_SUBCOMMANDS_H_

#include "src/cli/command.h"

namespace auburnyard::cli {

Command QueryCommand();
Command IntentCommand();
Command PlanCommand();
Command ConfirmCommand();
Command StatusCommand();
Command ExplainCommand();
Command ReplayCommand();
Command CheckSettingsCommand();
Command CheckConfigurationCommand();
Command LogCommand();

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_SUBCOMMANDS_H_
