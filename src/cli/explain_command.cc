#include "src/cli/explain_command.h"

#include <iostream>

#include "auburnyard/error.h"
#include "auburnyard/explain.h"
#include "src/core/json_reader.h"
#include "src/net/http_client.h"

namespace auburnyard {

namespace {

constexpr std::string_view kUsage =
    "usage: auburnyard explain DECISION --host IP:port [--json]";
constexpr std::chrono::seconds kTimeout{10};
constexpr int kStatusOk = 200;

struct ExplainOptions {
  std::string decision;
  std::string host;
  bool json = false;
};

ExplainOptions ParseOptions(std::span<const std::string> arguments) {
  ExplainOptions options;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--json") {
      options.json = true;
    } else if (argument == "--host" && i + 1 < arguments.size()) {
      options.host = arguments[++i];
    } else if (options.decision.empty() && !argument.starts_with("--")) {
      options.decision = argument;
    } else {
      throw Error(ErrorKind::kBadRequest, "unexpected argument \"" + argument +
                                              "\"; " + std::string(kUsage));
    }
  }
  if (options.decision.empty() || options.host.empty()) {
    throw Error(ErrorKind::kBadRequest, std::string(kUsage));
  }
  return options;
}

[[noreturn]] void ThrowProblem(const HttpResponse& response) {
  const boost::json::value document =
      detail::ParseJson(response.body, ErrorKind::kProtocol);
  const detail::JsonReader problem(document, "", ErrorKind::kProtocol);
  throw Error(
      ParseErrorKind(problem.String("kind", "")).value_or(ErrorKind::kProtocol),
      problem.String("detail", "the host refused the request"));
}

}  // namespace

int RunExplain(std::span<const std::string> arguments) {
  const ExplainOptions options = ParseOptions(arguments);
  HttpCall call;
  call.path = "/v1/explain/" + EncodePercent(options.decision);
  const HttpResponse response = CallHttp(options.host, call, kTimeout);
  if (response.status != kStatusOk) {
    ThrowProblem(response);
  }
  if (options.json) {
    std::cout << response.body << "\n";
    return 0;
  }
  const boost::json::value document =
      detail::ParseJson(response.body, ErrorKind::kProtocol);
  if (!document.is_object()) {
    throw Error(ErrorKind::kProtocol, "explain: expected an object");
  }
  std::cout << FormatExplanation(document.get_object());
  return 0;
}

}  // namespace auburnyard
