#include <ostream>
#include <sstream>

#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "auburnyard/intent.h"
#include "src/cli/host_call.h"
#include "src/cli/print.h"
#include "src/cli/subcommands.h"

namespace auburnyard::cli {

namespace {

constexpr std::string_view kIntentsPath = "/v1/intents";

std::string IntentPath(const std::string& id) {
  return std::string(kIntentsPath) + "/" + EncodePercent(id);
}

void AddActions(const Options& options,
                std::string_view option,
                std::string_view action,
                boost::json::object& actions) {
  for (const std::string& name : options.GetAll(option)) {
    if (actions.contains(name)) {
      throw Error(ErrorKind::kBadRequest,
                  "--" + std::string(option) + "=" + name +
                      ": another action is already given");
    }
    actions[name] = action;
  }
}

boost::json::array SplitList(const std::string& list) {
  boost::json::array parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.emplace_back(part);
  }
  return parts;
}

std::string BuildIntent(const Options& options, const std::string& id) {
  boost::json::object domains;
  AddActions(options, "serve", "serve", domains);
  AddActions(options, "take-out", "take_out", domains);
  AddActions(options, "bring-back", "bring_back", domains);
  boost::json::object targets;
  AddActions(options, "leave", "leave", targets);
  AddActions(options, "return", "return", targets);
  const std::vector<std::string> services = options.GetAll("service");
  boost::json::object intent{
      {"id", id},
      {"author", options.GetRequired("author")},
      {"text", options.Get("text", "")},
      {"services", boost::json::array(services.begin(), services.end())},
      {"domains", std::move(domains)},
      {"targets", std::move(targets)}};
  if (options.Has("class-order")) {
    intent["class_order"] = SplitList(options.Get("class-order", ""));
  }
  std::string body = boost::json::serialize(intent);
  // Validated locally with the parser that the host uses.
  ParseIntentRequest(body);
  return body;
}

boost::json::object CreateIntent(const Options& options, std::ostream& out) {
  return CallHost(
      options, CallKey::kOperator,
      {.method = "POST",
       .path = std::string(kIntentsPath),
       .body = BuildIntent(options, options.RequireArguments(2, 2).at(1))},
      out);
}

boost::json::object CreateRestriction(const Options& options,
                                      std::ostream& out) {
  constexpr std::uint64_t kDefaultExpirySeconds = 600;
  constexpr std::uint64_t kMillisecondsPerSecond = 1000;
  const boost::json::object body{
      {"id", options.RequireArguments(2, 2).at(1)},
      {"author", options.GetRequired("author")},
      {"domain", options.GetRequired("take-out")},
      {"expires_ms",
       ParseIntegerOption(options, "expires-s", kDefaultExpirySeconds) *
           kMillisecondsPerSecond}};
  return CallHost(options, CallKey::kOperator,
                  {.method = "POST",
                   .path = "/v1/restrictions",
                   .body = boost::json::serialize(body)},
                  out);
}

void PrintRestriction(const boost::json::object& answer, std::ostream& out) {
  out << "domain " << FormatValue(answer.at("domain"))
      << " is out of service for " << answer.at("expires_ms")
      << " ms or until revision " << answer.at("base_revision")
      << " is replaced\n";
}

boost::json::object Get(const Options& options,
                        const std::string& path,
                        std::ostream& out) {
  return CallHost(options, CallKey::kOperator, {.path = path}, out);
}

void PrintList(const boost::json::object& answer, std::ostream& out) {
  for (const boost::json::value& intent : answer.at("intents").as_array()) {
    PrintIntent(intent.as_object(), out);
  }
  out << "revision " << answer.at("revision") << '\n';
}

void PrintEdit(const boost::json::object& answer, std::ostream& out) {
  out << (answer.at("changed").as_bool() ? "changed" : "unchanged")
      << ", revision " << answer.at("revision") << '\n';
}

void Run(const Options& options, std::ostream& out) {
  const std::string action = options.RequireArguments(1, 2).front();
  boost::json::object answer;
  void (*print)(const boost::json::object&, std::ostream&) = PrintEdit;
  if (action == "create") {
    answer = CreateIntent(options, out);
  } else if (action == "list") {
    options.RequireArguments(1, 1);
    answer = Get(options, std::string(kIntentsPath), out);
    print = PrintList;
  } else if (action == "show") {
    answer =
        Get(options, IntentPath(options.RequireArguments(2, 2).at(1)), out);
    print = PrintIntent;
  } else if (action == "restrict") {
    answer = CreateRestriction(options, out);
    print = PrintRestriction;
  } else if (action == "withdraw") {
    answer =
        CallHost(options, CallKey::kOperator,
                 {.method = "DELETE",
                  .path = IntentPath(options.RequireArguments(2, 2).at(1))},
                 out);
  } else {
    throw Error(ErrorKind::kBadRequest,
                "\"" + action +
                    "\": expected create, list, show, withdraw or "
                    "restrict");
  }
  if (options.Has("json")) {
    PrintJson(answer, out);
  } else {
    print(answer, out);
  }
}

}  // namespace

Command IntentCommand() {
  return {
      .name = "intent",
      .arguments = "create ID | list | show ID | withdraw ID | restrict ID",
      .summary =
          "Creates, lists, shows or withdraws intents; restrict takes a "
          "domain out of service while the platform's service is down.",
      .options =
          {{"author", "NAME", "author of the intent or restriction"},
           {"text", "TEXT", "reason for the intent"},
           {"service", "NAME",
            "service that the class order applies to (default all)"},
           {"serve", "DOMAIN", "keep the domain in service"},
           {"take-out", "DOMAIN", "send no new requests to the domain"},
           {"bring-back", "DOMAIN", "send requests to the domain again"},
           {"leave", "TARGET", "send no new requests to the target"},
           {"return", "TARGET", "send requests to the target again"},
           {"expires-s", "N",
            "seconds until a restriction expires (default 600, at most "
            "3600)"},
           {"class-order", "LIST",
            "priority classes, highest priority first, separated by commas"}},
      .run = Run};
}

}  // namespace auburnyard::cli
