#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_SNAPSHOT_TABLE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_SNAPSHOT_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include "auburnyard/key_range.h"

namespace auburnyard::util {

/// Snapshots that a target holds, oldest first; the last is the current one.
/// Entries for service "" apply to every service without entries of its own.
class SnapshotTable {
 public:
  explicit SnapshotTable(const std::vector<std::string>& snapshots);

  /// Sets the current snapshot of a service and keeps the older ones if
  /// `keep_older` is set. An empty list of ranges stands for all keys.
  void Set(const std::string& service,
           std::string_view snapshot,
           std::vector<KeyRange> ranges,
           bool keep_older);
  bool Holds(std::string_view service,
             std::string_view snapshot,
             KeyRange range) const;
  /// Returns the current snapshot of a service, or an empty string if the
  /// target holds none.
  std::string CurrentSnapshot(std::string_view service) const;

 private:
  struct HeldSnapshot {
    std::string snapshot;
    std::vector<KeyRange> ranges;
  };

  const std::vector<HeldSnapshot>& Find(std::string_view service) const;

  std::map<std::string, std::vector<HeldSnapshot>, std::less<>>
      snapshots_by_service;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_SNAPSHOT_TABLE_H_
