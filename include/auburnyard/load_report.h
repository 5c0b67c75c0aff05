#ifndef AUBURNYARD_LOAD_REPORT_H_
#define AUBURNYARD_LOAD_REPORT_H_

#include <cstdint>
#include <optional>

namespace auburnyard {

/// Load that a target reported in a reply.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work takes now, in percent of the usual time; empty if the
  /// target does not report it.
  std::optional<std::uint32_t> speed_percent;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_LOAD_REPORT_H_
