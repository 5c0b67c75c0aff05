#ifndef AUBURNYARD_SRC_CLI_REPLAY_COMMAND_H_
#define AUBURNYARD_SRC_CLI_REPLAY_COMMAND_H_

#include <span>
#include <string>

namespace auburnyard {

/// `auburnyard replay TRACE [--json] [--record]`: replays a trace file. Returns
/// 0 if all outcomes are as stated and 1 if there are differences. With
/// --record it prints the trace with the outcomes that the core produces.
/// Throws Error for bad arguments and bad traces.
int RunReplay(std::span<const std::string> arguments);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_CLI_REPLAY_COMMAND_H_
