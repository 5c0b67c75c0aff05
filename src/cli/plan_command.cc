#include <ostream>

#include <boost/json/serialize.hpp>

#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

void Run(const Options& options, std::ostream& out) {
  const std::vector<std::string>& arguments = options.RequireArguments(0, 1);
  HttpCall call{.path = "/v1/plans"};
  if (!arguments.empty()) {
    call.method = "POST";
    call.body = boost::json::serialize(
        boost::json::object{{"intent", arguments.front()}});
  }
  const boost::json::object answer =
      CallHost(options, CallKey::kOperator, call, out);
  if (options.Has("json")) {
    PrintJson(answer, out);
  } else if (!arguments.empty()) {
    PrintPlan(answer, out);
  } else {
    for (const boost::json::value& plan : answer.at("plans").as_array()) {
      PrintPlan(plan.as_object(), out);
    }
    out << "revision " << answer.at("revision") << '\n';
  }
}

}  // namespace

Command PlanCommand() {
  return {.name = "plan",
          .arguments = "[INTENT]",
          .summary =
              "Shows the effects of confirming an intent; without an "
              "intent, all open plans.",
          .options = {},
          .run = Run};
}

}  // namespace auburnyard::cli
