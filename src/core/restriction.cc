#include "auburnyard/restriction.h"

#include "auburnyard/intent.h"
#include "src/core/json_reader.h"

namespace auburnyard {

Restriction ParseRestrictionRequest(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"id", "author", "domain", "expires_ms"});
  constexpr std::chrono::milliseconds kMaxRemaining = kMaxRestrictionTime;
  Restriction restriction{
      .id = reader.String("id"),
      .author = reader.String("author"),
      .domain = reader.String("domain"),
      .remaining = std::chrono::milliseconds(reader.Integer(
          "expires_ms", 1, static_cast<std::uint64_t>(kMaxRemaining.count())))};
  if (restriction.id.empty() || restriction.id.size() > kMaxIntentIdBytes) {
    throw Error(ErrorKind::kBadRequest, "id: expected 1 to " +
                                            std::to_string(kMaxIntentIdBytes) +
                                            " characters");
  }
  if (restriction.author.empty() ||
      restriction.author.size() > kMaxIntentTextBytes) {
    throw Error(ErrorKind::kBadRequest, "author: expected a short name");
  }
  return restriction;
}

boost::json::object ToJson(const Restriction& restriction) {
  return {{"id", restriction.id},
          {"author", restriction.author},
          {"domain", restriction.domain},
          {"base_revision", restriction.base_revision},
          {"expires_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             restriction.remaining)
                             .count()}};
}

}  // namespace auburnyard
