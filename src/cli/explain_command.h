#ifndef AUBURNYARD_SRC_CLI_EXPLAIN_COMMAND_H_
#define AUBURNYARD_SRC_CLI_EXPLAIN_COMMAND_H_

#include <span>
#include <string>

namespace auburnyard {

/// `auburnyard explain DECISION --host IP:port [--json]`: prints the reasons
/// behind a recent decision of an entry host. Returns 0. Throws Error for bad
/// arguments, for a host that cannot be reached and for a decision that the
/// host does not know.
int RunExplain(std::span<const std::string> arguments);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_CLI_EXPLAIN_COMMAND_H_
