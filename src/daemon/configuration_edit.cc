#include "src/daemon/configuration_edit.h"

#include <utility>

#include "auburnyard/planner.h"

namespace auburnyard {

namespace {

std::optional<Intent> Lookup(const Configuration& configuration,
                             std::string_view id) {
  const boost::json::value* stored = configuration.intents.if_contains(id);
  if (stored == nullptr) {
    return std::nullopt;
  }
  return ParseStoredIntent(id, *stored);
}

bool SameIntent(const Intent& a, const Intent& b) {
  return ContentHash(a) == ContentHash(b) && a.author == b.author &&
         a.text == b.text;
}

std::optional<Configuration> ApplyCreate(const Configuration& current,
                                         const Intent& submitted,
                                         const std::string& nonce) {
  const std::optional<Intent> present = Lookup(current, submitted.id);
  if (present && SameIntent(*present, submitted)) {
    return std::nullopt;
  }
  if (present) {
    throw Error(ErrorKind::kConflict,
                "intent \"" + submitted.id + "\" exists with other contents");
  }
  CheckNames(current, submitted);
  if (current.intents.size() >= kMaxIntents) {
    throw Error(ErrorKind::kConflict,
                "the limit of " + std::to_string(kMaxIntents) +
                    " intents is reached; withdraw some first");
  }
  Intent intent = submitted;
  intent.created_revision = current.revision + 1;
  intent.nonce = nonce;
  Configuration changed = current;
  changed.intents[intent.id] = ToJson(intent);
  return changed;
}

std::optional<Configuration> ApplyConfirm(const Configuration& current,
                                          const std::string& plan_id,
                                          const std::string& nonce) {
  Intent intent = FindIntent(current, ParsePlanId(plan_id).intent);
  if (intent.confirmation && intent.confirmation->plan == plan_id) {
    return std::nullopt;
  }
  if (intent.confirmation) {
    throw Error(ErrorKind::kConflict,
                "intent \"" + intent.id + "\" was confirmed by plan " +
                    intent.confirmation->plan + " in revision " +
                    std::to_string(intent.confirmation->revision));
  }
  if (ComputePlanId(current.revision, intent) != plan_id) {
    throw Error(ErrorKind::kConflict,
                "the plan does not match the intent at revision " +
                    std::to_string(current.revision));
  }
  Configuration changed = ApplyIntent(current, intent);
  intent.confirmation = {
      .plan = plan_id, .revision = current.revision + 1, .nonce = nonce};
  changed.intents[intent.id] = ToJson(intent);
  return changed;
}

}  // namespace

ConfigurationEdit CreateIntentEdit(Intent intent) {
  const std::string id = intent.id;
  return {.apply =
              [intent = std::move(intent)](const Configuration& current,
                                           const std::string& nonce) {
                return ApplyCreate(current, intent, nonce);
              },
          .outcome =
              [id](const Configuration& current, const std::string& nonce) {
                const std::optional<Intent> present = Lookup(current, id);
                // An absent intent may have been added and withdrawn again. It
                // is then added again, which has no effect until a plan is
                // confirmed.
                return present && present->nonce == nonce
                           ? EditOutcome::kApplied
                           : EditOutcome::kNotApplied;
              }};
}

ConfigurationEdit WithdrawIntentEdit(std::string id) {
  return {.apply = [id](const Configuration& current,
                        const std::string&) -> std::optional<Configuration> {
            // Not parsed, so that a malformed intent can be withdrawn too.
            if (!current.intents.contains(id)) {
              throw Error(ErrorKind::kNotFound,
                          "intent \"" + id + "\" does not exist");
            }
            Configuration changed = current;
            changed.intents.erase(id);
            return changed;
          },
          .outcome =
              [id](const Configuration& current, const std::string&) {
                return current.intents.contains(id) ? EditOutcome::kNotApplied
                                                    : EditOutcome::kApplied;
              }};
}

ConfigurationEdit ConfirmPlanEdit(std::string plan_id) {
  const std::string intent = ParsePlanId(plan_id).intent;
  return {
      .apply =
          [plan_id](const Configuration& current, const std::string& nonce) {
            return ApplyConfirm(current, plan_id, nonce);
          },
      .outcome =
          [intent](const Configuration& current, const std::string& nonce) {
            const std::optional<Intent> present = Lookup(current, intent);
            if (!present) {
              return EditOutcome::kUndetermined;
            }
            // An intent is confirmed at most once and stays confirmed until it
            // is withdrawn.
            return present->confirmation &&
                           present->confirmation->nonce == nonce
                       ? EditOutcome::kApplied
                       : EditOutcome::kNotApplied;
          }};
}

}  // namespace auburnyard
