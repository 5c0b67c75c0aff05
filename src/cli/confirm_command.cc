#include <ostream>

#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

void Run(const Options& options, std::ostream& out) {
  const std::string plan = options.RequireArguments(1, 1).front();
  const boost::json::object answer =
      CallHost(options, CallKey::kOperator,
               {.method = "POST",
                .path = "/v1/plans/" + EncodePercent(plan) + "/confirm"},
               out);
  if (options.Has("json")) {
    PrintJson(answer, out);
    return;
  }
  out << (answer.at("changed").as_bool() ? "confirmed" : "already confirmed")
      << " in revision " << answer.at("confirmed_revision") << '\n';
}

}  // namespace

Command ConfirmCommand() {
  return {.name = "confirm",
          .arguments = "PLAN",
          .summary = "Confirms a plan, so that its changes take effect.",
          .options = {},
          .run = Run};
}

}  // namespace auburnyard::cli
