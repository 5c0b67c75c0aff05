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

constexpr std::string_view kPath = "/v1/intents";

std::string PathOf(const std::string& id) {
  return std::string(kPath) + "/" + EncodePercent(id);
}

void AddActions(const Options& options,
                std::string_view option,
                std::string_view action,
                boost::json::object& actions) {
  for (const std::string& name : options.All(option)) {
    if (actions.contains(name)) {
      throw Error(ErrorKind::kBadRequest,
                  "--" + std::string(option) + "=" + name +
                      ": another action is given for it too");
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
  const std::vector<std::string> services = options.All("service");
  boost::json::object intent{
      {"id", id},
      {"author", options.Required("author")},
      {"text", options.Get("text", "")},
      {"services", boost::json::array(services.begin(), services.end())},
      {"domains", std::move(domains)},
      {"targets", std::move(targets)}};
  if (options.Has("class-order")) {
    intent["class_order"] = SplitList(options.Get("class-order", ""));
  }
  std::string body = boost::json::serialize(intent);
  // Checked before it is sent, by the parser that the host uses.
  ParseIntentRequest(body);
  return body;
}

boost::json::object Create(const Options& options, std::ostream& out) {
  return CallHost(options, CallKey::kOperator,
                  {.method = "POST",
                   .path = std::string(kPath),
                   .body = BuildIntent(options, options.Arguments(2, 2).at(1))},
                  out);
}

boost::json::object Restrict(const Options& options, std::ostream& out) {
  constexpr std::uint64_t kDefaultSeconds = 600;
  constexpr std::uint64_t kMillisecondsPerSecond = 1000;
  const boost::json::object body{
      {"id", options.Arguments(2, 2).at(1)},
      {"author", options.Required("author")},
      {"domain", options.Required("take-out")},
      {"expires_ms", IntegerOption(options, "expires-s", kDefaultSeconds) *
                         kMillisecondsPerSecond}};
  return CallHost(options, CallKey::kOperator,
                  {.method = "POST",
                   .path = "/v1/restrictions",
                   .body = boost::json::serialize(body)},
                  out);
}

void PrintRestriction(const boost::json::object& answer, std::ostream& out) {
  out << "domain " << Plain(answer.at("domain")) << " is out for "
      << answer.at("expires_ms") << " ms or until revision "
      << answer.at("base_revision") << " is replaced\n";
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
  out << (answer.at("changed").as_bool() ? "changed" : "nothing to change")
      << ", revision " << answer.at("revision") << '\n';
}

void Run(const Options& options, std::ostream& out) {
  const std::string action = options.Arguments(1, 2).front();
  boost::json::object answer;
  void (*print)(const boost::json::object&, std::ostream&) = PrintEdit;
  if (action == "create") {
    answer = Create(options, out);
  } else if (action == "list") {
    options.Arguments(1, 1);
    answer = Get(options, std::string(kPath), out);
    print = PrintList;
  } else if (action == "show") {
    answer = Get(options, PathOf(options.Arguments(2, 2).at(1)), out);
    print = PrintIntent;
  } else if (action == "restrict") {
    answer = Restrict(options, out);
    print = PrintRestriction;
  } else if (action == "withdraw") {
    answer = CallHost(
        options, CallKey::kOperator,
        {.method = "DELETE", .path = PathOf(options.Arguments(2, 2).at(1))},
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
  return {.name = "intent",
          .arguments = "create ID | list | show ID | withdraw ID | restrict ID",
          .summary =
              "Creates, lists, shows or withdraws intents; restrict "
              "takes a domain out while the platform's service is down.",
          .options = {{"author", "NAME", "who wants it"},
                      {"text", "TEXT", "why"},
                      {"service", "NAME",
                       "service that the class order applies to (default all)"},
                      {"serve", "DOMAIN", "the domain has to stay in"},
                      {"take-out", "DOMAIN", "the domain gets no new work"},
                      {"bring-back", "DOMAIN", "the domain gets work again"},
                      {"leave", "TARGET", "the target gets no new work"},
                      {"return", "TARGET", "the target gets work again"},
                      {"expires-s", "N",
                       "end of a restriction (default 600, at most 3600)"},
                      {"class-order", "LIST",
                       "classes, first served first, separated by commas"}},
          .run = Run};
}

}  // namespace auburnyard::cli
