#include "src/cli/host_call.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>

#include "auburnyard/error.h"
#include "src/cli/print.h"
#include "src/core/json_reader.h"
#include "src/net/http_client.h"

namespace auburnyard::cli {

namespace {

constexpr std::uint64_t kDefaultTimeoutMs = 30'000;
constexpr int kFirstErrorStatus = 400;

std::string ReadKey(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string key((std::istreambuf_iterator<char>(file)), {});
  if (!file.is_open() || file.bad()) {
    throw Error(ErrorKind::kBadRequest, path + ": cannot be read");
  }
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  // A line break would end the Authorization header.
  if (key.empty() || key.find_first_of("\r\n") != std::string::npos) {
    throw Error(ErrorKind::kBadRequest,
                path + ": expected a key on a single line");
  }
  return key;
}

[[noreturn]] void ThrowProblem(const Options& options,
                               const HttpResponse& response,
                               const boost::json::value& problem,
                               std::ostream& out) {
  const detail::JsonReader reader(problem, "", ErrorKind::kProtocol);
  const auto kind = ParseErrorKind(reader.String("kind", ""));
  std::string text = reader.String("detail", "");
  if (text.empty()) {
    text = "HTTP status " + std::to_string(response.status);
  }
  const std::string run = reader.String("run", "");
  if (!run.empty()) {
    text += " (run state: " + run + ")";
  }
  if (options.Has("json")) {
    PrintJson(problem, out);
  } else if (reader.Has("plan")) {
    out << "Plan based on the current revision:\n";
    PrintPlan(reader.Object("plan"), out);
  }
  throw Error(kind.value_or(ErrorKind::kProtocol), text);
}

}  // namespace

std::uint64_t ParseIntegerOption(const Options& options,
                                 std::string_view name,
                                 std::uint64_t fallback) {
  if (!options.Has(name)) {
    return fallback;
  }
  const std::string text = options.Get(name, "");
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last || value == 0) {
    throw Error(ErrorKind::kBadRequest,
                "--" + std::string(name) + ": expected a positive integer");
  }
  return value;
}

boost::json::object CallHost(const Options& options,
                             CallKey key,
                             HttpCall call,
                             std::ostream& out) {
  const std::string host = options.GetRequired("host");
  if (key == CallKey::kOperator) {
    call.headers.emplace_back(
        "Authorization", "Bearer " + ReadKey(options.GetRequired("key-file")));
  }
  const std::chrono::milliseconds timeout(
      ParseIntegerOption(options, "timeout-ms", kDefaultTimeoutMs));
  const HttpResponse response = CallHttp(host, call, timeout);
  boost::json::value body;
  try {
    body = detail::ParseJson(response.body, ErrorKind::kProtocol);
  } catch (const Error&) {
    throw Error(ErrorKind::kProtocol, host + " answered with HTTP status " +
                                          std::to_string(response.status) +
                                          " and a body that is not JSON");
  }
  if (!body.is_object()) {
    throw Error(ErrorKind::kProtocol,
                host + " answered with a body that is not a JSON object");
  }
  if (response.status >= kFirstErrorStatus) {
    ThrowProblem(options, response, body, out);
  }
  return body.get_object();
}

}  // namespace auburnyard::cli
