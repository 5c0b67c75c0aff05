#include "auburnyard/configuration_check.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

using Findings = std::vector<ConfigurationFinding>;
using Fields = std::map<std::string, std::string>;
using Entries = std::map<std::string, Fields>;

std::string Text(double number) {
  constexpr std::size_t kMaxDigits = 32;
  char text[kMaxDigits] = {};
  const auto end = std::to_chars(text, text + kMaxDigits, number).ptr;
  return {text, end};
}

std::string Text(std::chrono::milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

class Checker {
 public:
  explicit Checker(const RelayConfiguration& checked)
      : configuration(checked) {}

  Findings Check() {
    this->CheckRoutes();
    this->CheckServices();
    this->CheckAccounts();
    return std::move(this->findings);
  }

 private:
  void Add(FindingKind kind, std::string entry, std::string text) {
    this->findings.push_back({kind, std::move(entry), std::move(text)});
  }

  void CheckRoutes() {
    std::map<std::pair<std::string, std::string>, std::string> first;
    std::set<std::string> names;
    for (const Route& route : this->configuration.routes) {
      const std::string entry = "route " + route.name;
      this->CheckRoute(route, entry);
      if (!names.insert(route.name).second) {
        this->Add(FindingKind::kError, entry, "the name is used twice");
      }
      const auto [known, is_first] = first.emplace(
          std::pair(NormalizeHost(route.host), route.prefix), route.name);
      if (!is_first) {
        this->Add(FindingKind::kUnreachable, entry,
                  "route " + known->second +
                      " before it has the same host and prefix");
      }
    }
  }

  void CheckRoute(const Route& route, const std::string& entry) {
    if (route.host.empty()) {
      this->Add(FindingKind::kError, entry, "the host is empty");
    }
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
      this->Add(FindingKind::kError, entry,
                "the prefix must begin and end with a slash");
    }
    if (route.timeout.count() == 0) {
      this->Add(FindingKind::kError, entry, "the time-out is 0");
    }
    if (route.max_attempts == 0) {
      this->Add(FindingKind::kError, entry, "no attempt is allowed");
    }
    if (route.latency_objective > route.timeout) {
      this->Add(FindingKind::kContradiction, entry,
                "the objective of " + Text(route.latency_objective) +
                    " is above the time-out of " + Text(route.timeout));
    }
    if (route.fans_out() && !route.services.empty()) {
      this->Add(FindingKind::kContradiction, entry,
                "it gathers from services and also names a single one");
    }
    double weight = 0;
    for (const WeightedService& part : route.services) {
      weight += part.weight;
      if (part.weight <= 0) {
        this->Add(FindingKind::kUnreachable, entry,
                  "service " + part.service + " has weight 0");
      }
    }
    if (!route.services.empty() && weight <= 0) {
      this->Add(FindingKind::kError, entry, "all weights are 0");
    }
  }

  void CheckServices() {
    std::set<std::string> used;
    for (const Route& route : this->configuration.routes) {
      used.insert(route.shards.begin(), route.shards.end());
      for (const WeightedService& part : route.services) {
        used.insert(part.service);
      }
    }
    std::set<std::string> listed;
    for (const auto& [name, limits] : this->configuration.services) {
      const std::string entry = "service " + name;
      if (!listed.insert(name).second) {
        this->Add(FindingKind::kError, entry, "listed twice");
      }
      if (!used.contains(name)) {
        this->Add(FindingKind::kUnreachable, entry, "no route leads to it");
      }
      this->CheckLimits(limits, entry);
    }
    for (const std::string& name : used) {
      if (!listed.contains(name)) {
        this->Add(FindingKind::kError, "service " + name,
                  "a route leads to it, but it is not listed");
      }
    }
  }

  void CheckLimits(const ServiceLimits& limits, const std::string& entry) {
    if (limits.max_connections == 0) {
      this->Add(FindingKind::kError, entry, "no connection is allowed");
    }
    const bool has_rate = limits.warm_up_requests_per_second > 0;
    if (limits.warm_up.count() > 0 && !has_rate) {
      this->Add(FindingKind::kContradiction, entry,
                "a warm-up of " + Text(limits.warm_up) +
                    " without a rate has no effect");
    }
    if (limits.warm_up.count() == 0 && has_rate) {
      this->Add(FindingKind::kContradiction, entry,
                "a warm-up rate without a warm-up");
    }
  }

  void CheckAccounts() {
    if (!this->configuration.accounts) {
      return;
    }
    // The same rules as when the version is put in force. Its messages name no
    // key.
    try {
      const AccountTable table(*this->configuration.accounts);
    } catch (const Error& error) {
      this->Add(FindingKind::kError, "accounts", error.what());
    }
    for (const auto& [account, keys] : *this->configuration.accounts) {
      const std::string entry = "account " + account.name;
      if (keys.empty()) {
        this->Add(FindingKind::kUnreachable, entry, "it has no key");
      }
      const AccountLimits& limits = account.limits;
      if (limits.rate > 0 && limits.burst <= 0) {
        this->Add(FindingKind::kContradiction, entry,
                  "a rate of " + Text(limits.rate) + "/s with burst 0");
      }
      if (limits.rate <= 0 && limits.burst > 0) {
        this->Add(FindingKind::kContradiction, entry,
                  "a burst of " + Text(limits.burst) +
                      " without a rate has no effect");
      }
    }
  }

  const RelayConfiguration& configuration;
  Findings findings;
};

Fields FieldsOf(const Route& route) {
  std::string services;
  for (const WeightedService& part : route.services) {
    services +=
        (services.empty() ? "" : ",") + part.service + "=" + Text(part.weight);
  }
  return {{"host", route.host},
          {"prefix", route.prefix},
          {"idempotent", route.idempotent ? "yes" : "no"},
          {"time-out", Text(route.timeout)},
          {"objective", Text(route.latency_objective)},
          {"attempts", std::to_string(route.max_attempts)},
          {"priority", std::to_string(route.priority)},
          {"regions", Join(route.allowed_regions)},
          {"services", services},
          {"gathered services", Join(route.shards)},
          {"records", std::to_string(route.top_records)},
          {"coverage", Text(route.min_coverage)},
          {"exempt from keys", route.authentication_exempt ? "yes" : "no"}};
}

Fields FieldsOf(const ServiceLimits& limits) {
  return {{"connections", std::to_string(limits.max_connections)},
          {"warm-up", Text(limits.warm_up)},
          {"warm-up rate", Text(limits.warm_up_requests_per_second)}};
}

Fields FieldsOf(const ClientAccount& account) {
  return {{"priority",
           account.priority ? std::to_string(*account.priority) : "none"},
          {"rate", Text(account.limits.rate)},
          {"burst", Text(account.limits.burst)},
          {"regions", Join(account.allowed_regions)}};
}

Entries EntriesOf(const RelayConfiguration& configuration) {
  Entries entries;
  for (const Route& route : configuration.routes) {
    entries.emplace("route " + route.name, FieldsOf(route));
  }
  for (const auto& [name, limits] : configuration.services) {
    entries.emplace("service " + name, FieldsOf(limits));
  }
  if (configuration.accounts) {
    entries.emplace("accounts", Fields());
    for (const AccountWithKeys& listed : *configuration.accounts) {
      entries.emplace("account " + listed.account.name,
                      FieldsOf(listed.account));
    }
  }
  const CallerLimits& limits = configuration.limits;
  entries.emplace("limits",
                  Fields{{"header bytes", std::to_string(limits.header_bytes)},
                         {"body bytes", std::to_string(limits.body_bytes)},
                         {"header time-out", Text(limits.header_timeout)},
                         {"idle time-out", Text(limits.idle_timeout)}});
  return entries;
}

std::map<std::string, std::set<std::string>> KeysOf(
    const RelayConfiguration& configuration) {
  std::map<std::string, std::set<std::string>> keys;
  if (configuration.accounts) {
    for (const AccountWithKeys& listed : *configuration.accounts) {
      keys[listed.account.name].insert(listed.keys.begin(), listed.keys.end());
    }
  }
  return keys;
}

std::size_t CountMissing(const std::set<std::string>& keys,
                         const std::set<std::string>& present) {
  return static_cast<std::size_t>(std::ranges::count_if(
      keys, [&present](const auto& key) { return !present.contains(key); }));
}

// States numbers of keys only.
void CompareKeys(const RelayConfiguration& before,
                 const RelayConfiguration& after,
                 Findings& findings) {
  const auto old_keys = KeysOf(before);
  for (const auto& [name, keys] : KeysOf(after)) {
    const auto known = old_keys.find(name);
    if (known == old_keys.end()) {
      continue;
    }
    const std::size_t added = CountMissing(keys, known->second);
    const std::size_t revoked = CountMissing(known->second, keys);
    if (added + revoked > 0) {
      findings.push_back({FindingKind::kDifference, "account " + name,
                          "keys: " + std::to_string(added) + " added, " +
                              std::to_string(revoked) + " revoked"});
    }
  }
}

void CompareFields(const std::string& entry,
                   const Fields& before,
                   const Fields& after,
                   Findings& findings) {
  for (const auto& [name, value] : after) {
    const auto known = before.find(name);
    if (known != before.end() && known->second != value) {
      findings.push_back(
          {FindingKind::kDifference, entry,
           name + ": \"" + known->second + "\" becomes \"" + value + "\""});
    }
  }
}

void Compare(const RelayConfiguration& before,
             const RelayConfiguration& after,
             Findings& findings) {
  if (after.version <= before.version) {
    findings.push_back({FindingKind::kError, "version",
                        std::to_string(after.version) + " is not above " +
                            std::to_string(before.version) +
                            ", which is in force"});
  }
  const Entries old_entries = EntriesOf(before);
  const Entries new_entries = EntriesOf(after);
  for (const auto& [entry, fields] : new_entries) {
    const auto known = old_entries.find(entry);
    if (known == old_entries.end()) {
      findings.push_back({FindingKind::kDifference, entry, "added"});
    } else {
      CompareFields(entry, known->second, fields, findings);
    }
  }
  for (const auto& [entry, fields] : old_entries) {
    if (!new_entries.contains(entry)) {
      findings.push_back({FindingKind::kDifference, entry, "removed"});
    }
  }
  CompareKeys(before, after, findings);
}

}  // namespace

std::string_view ToString(FindingKind kind) {
  switch (kind) {
    case FindingKind::kUnreachable:
      return "unreachable";
    case FindingKind::kContradiction:
      return "contradiction";
    case FindingKind::kDifference:
      return "difference";
    case FindingKind::kError:
      break;
  }
  return "error";
}

std::vector<ConfigurationFinding> CheckConfiguration(
    const RelayConfiguration& configuration,
    const RelayConfiguration* in_force) {
  Findings findings = Checker(configuration).Check();
  if (in_force != nullptr) {
    Compare(*in_force, configuration, findings);
  }
  return findings;
}

}  // namespace auburnyard
