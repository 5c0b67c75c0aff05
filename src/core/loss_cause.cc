#include "auburnyard/loss_cause.h"

#include <algorithm>

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, kLossCauseCount> kNames = {
    "no_target",
    "unreachable",
    "waiting_for_connection",
    "refused",
    "failed",
    "lost",
    "stalled",
    "slow",
    "bundle_lost",
    "bundle_late",
    "missing_from_bundle"};

}  // namespace

std::string_view ToString(LossCause cause) {
  return kNames.at(static_cast<std::size_t>(cause));
}

std::optional<LossCause> ParseLossCause(std::string_view name) {
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<LossCause>(found - kNames.begin());
}

}  // namespace auburnyard
