#ifndef AUBURNYARD_TARGET_ENTRY_H_
#define AUBURNYARD_TARGET_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace auburnyard {

/// What a target registered about itself.
struct TargetEntry {
  std::string id;  ///< new for each start of a target, in most cases
  std::string service;
  std::string address;  ///< IP:port
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< requests that run at the same time
  bool draining = false;
  std::chrono::milliseconds warm_up_left{0};
  std::int64_t started_at_ms = 0;  ///< Unix time of its start, 0: not told
  std::uint64_t sequence = 0;      ///< of its reports since its start

  bool operator==(const TargetEntry&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_ENTRY_H_
