#ifndef AUBURNYARD_LOAD_REPORT_H_
#define AUBURNYARD_LOAD_REPORT_H_

#include <cstdint>

namespace auburnyard {

/// Load that a target reported in a reply.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_LOAD_REPORT_H_
