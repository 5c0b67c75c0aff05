#ifndef AUBURNYARD_INTENT_H_
#define AUBURNYARD_INTENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "auburnyard/configuration.h"

namespace auburnyard {

enum class DomainAction {
  kServe,  ///< must stay in service; changes nothing, conflicts with a plan to
           ///< take the domain out
  kTakeOut,
  kBringBack,
};
enum class TargetAction { kLeave, kReturn };

std::string_view ToString(DomainAction action);
std::string_view ToString(TargetAction action);

/// Record that the plan of an intent was applied.
struct Confirmation {
  std::string plan;
  std::uint64_t revision = 0;  ///< revision that the plan created
  std::string nonce;
};

/// Change requested by an operator. Stored in the member "intents" of the
/// configuration.
struct Intent {
  std::string id;
  std::string author;
  std::string text;
  std::uint64_t created_revision = 0;
  std::string nonce;  ///< of the write that created the intent
  std::vector<std::string>
      services;  ///< that `class_order` applies to; empty: all
  std::map<std::string, DomainAction, std::less<>> domains;
  std::map<std::string, TargetAction, std::less<>> targets;
  std::optional<ClassOrder> class_order;
  std::optional<Confirmation> confirmation;
};

inline constexpr std::size_t kMaxIntents = 256;
inline constexpr std::size_t kMaxIntentIdBytes = 64;
inline constexpr std::size_t kMaxIntentTextBytes = 1024;

/// Parses an intent submitted by an operator. Throws Error(kBadRequest) that
/// names the faulty member.
Intent ParseIntentRequest(std::string_view json);
/// Parses an intent of a configuration document. Throws Error(kBadRequest).
Intent ParseStoredIntent(std::string_view id, const boost::json::value& stored);
boost::json::object ToJson(const Intent& intent);

/// All intents of a configuration. Throws Error(kBadRequest).
std::vector<Intent> ListIntents(const Configuration& configuration);
/// Throws Error(kNotFound).
Intent FindIntent(const Configuration& configuration, std::string_view id);
/// Throws Error(kBadRequest) if the intent names a service, failure domain or
/// target that is not configured.
void CheckNames(const Configuration& configuration, const Intent& intent);

/// Hash of the requested changes and the id; author, text, creation and
/// confirmation do not count.
std::uint64_t ContentHash(const Intent& intent);

}  // namespace auburnyard

#endif  // AUBURNYARD_INTENT_H_
