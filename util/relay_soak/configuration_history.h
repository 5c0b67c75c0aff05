#ifndef AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_HISTORY_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Versions of the configuration, with the times at which the store accepted
/// them.
class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(Duration change_limit) : limit(change_limit) {}

  /// The version was sent at `sent` and acknowledged at `acknowledged`.
  void Add(std::uint64_t version, TimePoint sent, TimePoint acknowledged);
  /// Whether a version that may handle a request allows what was seen. A
  /// request may be handled by the newest version that was due when it was
  /// sent, and by all versions that were sent before its answer.
  bool Allowed(TimePoint request_sent,
               TimePoint answered,
               const std::function<bool(std::uint64_t version)>& allows) const;
  /// Whether all versions that may handle the request allow it.
  bool AllowedByAll(
      TimePoint request_sent,
      TimePoint answered,
      const std::function<bool(std::uint64_t version)>& allows) const;

 private:
  struct Entry {
    std::uint64_t version = 0;
    TimePoint sent;
    TimePoint acknowledged;
  };
  std::vector<std::uint64_t> Candidates(TimePoint request_sent,
                                        TimePoint answered) const;

  Duration limit;
  std::vector<Entry> entries;  // by version
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_HISTORY_H_
