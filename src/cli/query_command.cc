#include <ostream>

#include <boost/json/serialize.hpp>

#include "auburnyard/query.h"
#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"
#include "src/core/json_reader.h"

namespace auburnyard::cli {

namespace {

std::string BuildRequest(const Options& options) {
  boost::json::object request{
      {"service", options.GetRequired("service")},
      {"query", options.RequireArguments(1, 1).front()},
      {"deadline_ms", ParseIntegerOption(options, "deadline-ms", 1000)},
      {"class", options.Get("class", "normal")},
      {"idempotent", !options.Has("once")}};
  if (options.Has("min-coverage")) {
    request["min_coverage"] = detail::ParseJson(options.Get("min-coverage", ""),
                                                ErrorKind::kBadRequest);
  }
  if (options.Has("request-id")) {
    request["request_id"] = options.Get("request-id", "");
  }
  std::string body = boost::json::serialize(request);
  // Validated locally with the parser that the host uses.
  ParseQueryRequest(body);
  return body;
}

void Run(const Options& options, std::ostream& out) {
  const boost::json::object answer = CallHost(
      options, CallKey::kNone,
      {.method = "POST", .path = "/v1/query", .body = BuildRequest(options)},
      out);
  if (options.Has("json")) {
    PrintJson(answer, out);
    return;
  }
  out << FormatValue(answer.at("outcome")) << " answer of "
      << FormatValue(answer.at("service")) << ", snapshot "
      << FormatValue(answer.at("snapshot")) << ", coverage "
      << answer.at("coverage") << ", decision "
      << FormatValue(answer.at("decision")) << '\n';
  for (const boost::json::value& range : answer.at("missing").as_array()) {
    out << "missing keys " << range.at("begin") << " to " << range.at("end")
        << '\n';
  }
  for (const boost::json::value& result : answer.at("results").as_array()) {
    out << FormatValue(result) << '\n';
  }
}

}  // namespace

Command QueryCommand() {
  return {.name = "query",
          .arguments = "QUERY",
          .summary = "Sends a query and prints the answer.",
          .options = {{"service", "NAME", "service to query"},
                      {"deadline-ms", "N", "deadline (default 1000)"},
                      {"class", "CLASS", "urgent, normal or archive"},
                      {"min-coverage", "SHARE", "minimum coverage, 0 to 1"},
                      {"request-id", "ID", "identifier of the request"},
                      {"once", nullptr,
                       "not idempotent: run at most once; needs --request-id"}},
          .run = Run};
}

}  // namespace auburnyard::cli
