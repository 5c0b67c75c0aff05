#include <ostream>

#include "auburnyard/explain.h"
#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

void Run(const Options& options, std::ostream& out) {
  const std::string decision = options.RequireArguments(1, 1).front();
  const boost::json::object explanation =
      CallHost(options, CallKey::kNone,
               {.path = "/v1/explain/" + EncodePercent(decision)}, out);
  if (options.Has("json")) {
    PrintJson(explanation, out);
  } else {
    out << FormatExplanation(explanation);
  }
}

}  // namespace

Command ExplainCommand() {
  return {.name = "explain",
          .arguments = "DECISION",
          .summary = "Shows the reasons for a recent decision of a host.",
          .options = {},
          .run = Run};
}

}  // namespace auburnyard::cli
