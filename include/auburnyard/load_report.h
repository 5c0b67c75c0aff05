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
  /// How long work takes at present, 100 meaning as usual.
  std::optional<std::uint32_t> speed_percent;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_LOAD_REPORT_H_
