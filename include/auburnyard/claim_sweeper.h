#ifndef AUBURNYARD_CLAIM_SWEEPER_H_
#define AUBURNYARD_CLAIM_SWEEPER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "auburnyard/claim_identifier.h"

namespace auburnyard {

/// Lists the keys whose claims are past retention, each once. Keeps no durable
/// state: it starts kSweepWindow before the newest expired period.
class ClaimSweeper {
 public:
  static constexpr std::chrono::hours kSweepWindow{2};

  /// Next key to delete if it exists; empty if none has expired since the last
  /// call.
  std::optional<std::string> Next(WallTime wall);

 private:
  std::optional<std::int64_t> period;
  std::uint64_t bucket = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_CLAIM_SWEEPER_H_
