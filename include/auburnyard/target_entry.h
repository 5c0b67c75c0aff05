#ifndef AUBURNYARD_TARGET_ENTRY_H_
#define AUBURNYARD_TARGET_ENTRY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace auburnyard {

/// One start of a target.
struct TargetIncarnation {
  std::string id;
  /// Unix time; 0: unknown. The clock of the target may step, so that a later
  /// start can have an earlier time or the same one.
  std::int64_t started_at_ms = 0;
  std::string address;  ///< IP:port

  auto operator<=>(const TargetIncarnation&) const = default;
};

/// Registration of a target.
struct TargetEntry {
  std::string id;  ///< usually new for each start of a target
  std::string service;
  std::string address;  ///< IP:port
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< requests that run at the same time
  bool draining = false;
  std::chrono::milliseconds remaining_warm_up{0};
  std::int64_t started_at_ms = 0;  ///< Unix time of its start; 0: unknown
  std::uint64_t sequence = 0;  ///< number of its latest report since its start
  std::string version;         ///< of the software or data that it serves
  /// Version of the store that this report was written with.
  std::uint64_t store_epoch = 0;
  std::uint64_t store_revision = 0;

  TargetIncarnation Incarnation() const {
    return {this->id, this->started_at_ms, this->address};
  }
  bool operator==(const TargetEntry&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TARGET_ENTRY_H_
