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

/// Snapshots that a target holds, oldest first; the last is the present one.
/// Entries for service "" apply to every service without entries of its own.
class SnapshotTable {
 public:
  explicit SnapshotTable(const std::vector<std::string>& snapshots);

  /// Replaces the snapshots of a service. An empty list of ranges holds every
  /// key.
  void Set(const std::string& service,
           std::string_view snapshot,
           std::vector<KeyRange> ranges,
           bool keep_older);
  bool Holds(std::string_view service,
             std::string_view snapshot,
             KeyRange range) const;
  /// Present snapshot of a service; empty if it holds none.
  std::string Present(std::string_view service) const;

 private:
  struct Holding {
    std::string snapshot;
    std::vector<KeyRange> ranges;
  };

  const std::vector<Holding>& Find(std::string_view service) const;

  std::map<std::string, std::vector<Holding>, std::less<>> holdings;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_SNAPSHOT_TABLE_H_
