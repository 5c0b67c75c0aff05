#include <ostream>

#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

std::string FormatAge(const boost::json::value& age) {
  return age.is_null() ? "unknown" : FormatValue(age) + " ms";
}

void Print(const boost::json::object& status, std::ostream& out) {
  out << "revision " << status.at("revision") << ", newest revision "
      << status.at("newest_revision") << ", configuration age "
      << FormatAge(status.at("knowledge_age_ms"))
      << (status.at("stale").as_bool() ? ", stale" : "") << '\n';
  for (const boost::json::value& host : status.at("hosts").as_array()) {
    out << "  " << FormatValue(host.at("id")) << " in "
        << FormatValue(host.at("domain")) << ": revision "
        << host.at("revision") << ", configuration age "
        << FormatAge(host.at("knowledge_age_ms")) << '\n';
  }
  out << "not confirmed: " << JoinNames(status.at("not_confirmed")) << '\n';
  out << "stale: " << JoinNames(status.at("stale_hosts")) << '\n';
  for (const boost::json::value& fault : status.at("store_faults").as_array()) {
    out << "store fault: " << FormatValue(fault.at("key")) << ": "
        << FormatValue(fault.at("fault")) << ": "
        << FormatValue(fault.at("detail")) << '\n';
  }
}

void Run(const Options& options, std::ostream& out) {
  options.RequireArguments(0, 0);
  const boost::json::object status =
      CallHost(options, CallKey::kNone, {.path = "/v1/status"}, out);
  if (options.Has("json")) {
    PrintJson(status, out);
  } else {
    Print(status, out);
  }
}

}  // namespace

Command StatusCommand() {
  return {
      .name = "status",
      .arguments = "",
      .summary = "Shows revisions and configuration ages of all known hosts.",
      .options = {},
      .run = Run};
}

}  // namespace auburnyard::cli
