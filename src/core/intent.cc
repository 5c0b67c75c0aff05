#include "auburnyard/intent.h"

#include <algorithm>
#include <array>
#include <limits>

#include <boost/json/serialize.hpp>

#include "src/core/fnv_hash.h"
#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, 3> kDomainActions = {"serve", "take_out",
                                                            "bring_back"};
constexpr std::array<std::string_view, 2> kTargetActions = {"leave", "return"};
constexpr std::string_view kIdCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

template <typename Action, std::size_t Count>
std::map<std::string, Action, std::less<>> ParseActions(
    const detail::JsonReader& reader,
    std::string_view member,
    const std::array<std::string_view, Count>& names) {
  std::map<std::string, Action, std::less<>> actions;
  if (!reader.Has(member)) {
    return actions;
  }
  for (const auto& entry : reader.Object(member)) {
    const std::string key(entry.key());
    const auto found =
        entry.value().is_string()
            ? std::find(names.begin(), names.end(),
                        std::string_view(entry.value().get_string()))
            : names.end();
    if (found == names.end()) {
      std::string expected;
      for (const std::string_view name : names) {
        expected +=
            (expected.empty() ? "\"" : ", \"") + std::string(name) + "\"";
      }
      throw Error(ErrorKind::kBadRequest, reader.PathOf(member) + "." + key +
                                              ": expected one of " + expected);
    }
    actions.emplace(key, static_cast<Action>(found - names.begin()));
  }
  return actions;
}

std::vector<std::string> ParseNames(const detail::JsonReader& reader,
                                    std::string_view member) {
  std::vector<std::string> names;
  if (!reader.Has(member)) {
    return names;
  }
  for (const boost::json::value& name : reader.Array(member)) {
    if (!name.is_string()) {
      throw Error(ErrorKind::kBadRequest,
                  reader.PathOf(member) + ": expected an array of names");
    }
    names.emplace_back(name.get_string());
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

void CheckId(const std::string& id) {
  if (id.empty() || id.size() > kMaxIntentIdBytes ||
      id.find_first_not_of(kIdCharacters) != std::string::npos) {
    throw Error(ErrorKind::kBadRequest,
                "id: expected 1 to " + std::to_string(kMaxIntentIdBytes) +
                    " letters, digits, '-', '_' or '.'");
  }
}

std::string ParseText(const detail::JsonReader& reader,
                      std::string_view member) {
  std::string text = reader.String(member, "");
  if (text.size() > kMaxIntentTextBytes) {
    throw Error(ErrorKind::kBadRequest,
                reader.PathOf(member) + ": longer than " +
                    std::to_string(kMaxIntentTextBytes) + " bytes");
  }
  return text;
}

Intent ParseContent(const detail::JsonReader& reader) {
  Intent intent;
  intent.author = ParseText(reader, "author");
  intent.text = ParseText(reader, "text");
  intent.services = ParseNames(reader, "services");
  intent.domains =
      ParseActions<DomainAction>(reader, "domains", kDomainActions);
  intent.targets =
      ParseActions<TargetAction>(reader, "targets", kTargetActions);
  if (reader.Has("class_order")) {
    intent.class_order = ParseClassOrder(reader.Array("class_order"),
                                         reader.PathOf("class_order"));
  }
  return intent;
}

Confirmation ParseConfirmation(const detail::JsonReader& reader) {
  reader.AllowOnly({"plan", "revision", "nonce"});
  return {.plan = reader.String("plan"),
          .revision = reader.Integer("revision", 1, kMaxRevision),
          .nonce = reader.String("nonce")};
}

boost::json::object ContentToJson(const Intent& intent) {
  boost::json::object domains;
  for (const auto& [name, action] : intent.domains) {
    domains[name] = ToString(action);
  }
  boost::json::object targets;
  for (const auto& [name, action] : intent.targets) {
    targets[name] = ToString(action);
  }
  boost::json::object content{
      {"services",
       boost::json::array(intent.services.begin(), intent.services.end())},
      {"domains", std::move(domains)},
      {"targets", std::move(targets)}};
  if (intent.class_order) {
    content["class_order"] = ToJson(*intent.class_order);
  }
  return content;
}

template <typename Names, typename Configured>
void CheckConfigured(std::string_view member,
                     const Names& names,
                     const Configured& configured) {
  for (const auto& [name, action] : names) {
    if (!configured.contains(name)) {
      throw Error(ErrorKind::kBadRequest,
                  std::string(member) + "." + name + ": not configured");
    }
  }
}

}  // namespace

std::string_view ToString(DomainAction action) {
  return kDomainActions.at(static_cast<std::size_t>(action));
}

std::string_view ToString(TargetAction action) {
  return kTargetActions.at(static_cast<std::size_t>(action));
}

Intent ParseIntentRequest(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"id", "author", "text", "services", "domains", "targets",
                    "class_order"});
  Intent intent = ParseContent(reader);
  intent.id = reader.String("id");
  CheckId(intent.id);
  if (intent.author.empty()) {
    throw Error(ErrorKind::kBadRequest, "author: expected a non-empty string");
  }
  if (intent.domains.empty() && intent.targets.empty() && !intent.class_order) {
    throw Error(ErrorKind::kBadRequest,
                "document: expected domains, targets or class_order");
  }
  return intent;
}

Intent ParseStoredIntent(std::string_view id,
                         const boost::json::value& stored) {
  const detail::JsonReader reader(stored, "intents." + std::string(id),
                                  ErrorKind::kBadRequest);
  reader.AllowOnly({"id", "author", "text", "services", "domains", "targets",
                    "class_order", "created_revision", "nonce",
                    "confirmation"});
  Intent intent = ParseContent(reader);
  intent.id = std::string(id);
  intent.created_revision = reader.Integer("created_revision", 0, kMaxRevision);
  intent.nonce = reader.String("nonce", "");
  if (reader.Has("confirmation")) {
    intent.confirmation = ParseConfirmation(reader.Child("confirmation"));
  }
  return intent;
}

boost::json::object ToJson(const Intent& intent) {
  boost::json::object object = ContentToJson(intent);
  object["id"] = intent.id;
  object["author"] = intent.author;
  object["text"] = intent.text;
  object["created_revision"] = intent.created_revision;
  object["nonce"] = intent.nonce;
  if (intent.confirmation) {
    object["confirmation"] = {{"plan", intent.confirmation->plan},
                              {"revision", intent.confirmation->revision},
                              {"nonce", intent.confirmation->nonce}};
  }
  return object;
}

std::vector<Intent> ListIntents(const Configuration& configuration) {
  std::vector<Intent> intents;
  for (const auto& entry : configuration.intents) {
    intents.push_back(ParseStoredIntent(entry.key(), entry.value()));
  }
  return intents;
}

Intent FindIntent(const Configuration& configuration, std::string_view id) {
  const boost::json::value* stored = configuration.intents.if_contains(id);
  if (stored == nullptr) {
    throw Error(ErrorKind::kNotFound,
                "intent \"" + std::string(id) + "\" does not exist");
  }
  return ParseStoredIntent(id, *stored);
}

void CheckNames(const Configuration& configuration, const Intent& intent) {
  for (const std::string& service : intent.services) {
    if (!configuration.services.contains(service)) {
      throw Error(ErrorKind::kBadRequest,
                  "services: \"" + service + "\" is not configured");
    }
  }
  CheckConfigured("domains", intent.domains, configuration.domains);
  CheckConfigured("targets", intent.targets, configuration.targets);
}

std::uint64_t ContentHash(const Intent& intent) {
  // Maps and names are sorted, so equal content serializes to equal text.
  return detail::FnvHash(intent.id + "\n" +
                         boost::json::serialize(ContentToJson(intent)));
}

}  // namespace auburnyard
