#ifndef AUBURNYARD_LOSS_CAUSE_H_
#define AUBURNYARD_LOSS_CAUSE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnyard {

/// Why an answer lacks a part, or had to wait for it beyond the objective.
enum class LossCause {
  kNoTarget,              ///< no target may receive the request
  kUnreachable,           ///< no connection to a target could be made
  kWaitingForConnection,  ///< not sent: no connection was free in time
  kRefused,               ///< the targets refused to run the request
  kFailed,                ///< a target replied with a failure
  kLost,                  ///< the connection ended without a reply
  kStalled,               ///< the target sends no replies, for example a pause
  kSlow,                  ///< the target replies, but not in time
  kBundleLost,            ///< the fetching host did not answer the bundle
  kBundleLate,            ///< the fetching host has not answered yet
  kMissingFromBundle,     ///< the fetching host left the part out
};

inline constexpr std::size_t kLossCauseCount =
    static_cast<std::size_t>(LossCause::kMissingFromBundle) + 1;

/// Number of parts by cause.
using LossCounts = std::array<std::uint32_t, kLossCauseCount>;

/// Stable snake_case name, used in logs and metrics.
std::string_view ToString(LossCause cause);
std::optional<LossCause> ParseLossCause(std::string_view name);

}  // namespace auburnyard

#endif  // AUBURNYARD_LOSS_CAUSE_H_
