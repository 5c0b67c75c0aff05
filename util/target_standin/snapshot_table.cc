#include "util/target_standin/snapshot_table.h"

#include <algorithm>
#include <utility>

namespace auburnyard::util {

SnapshotTable::SnapshotTable(const std::vector<std::string>& snapshots) {
  auto& all = this->holdings[""];
  for (const std::string& snapshot : snapshots) {
    all.push_back({snapshot, {}});
  }
}

void SnapshotTable::Set(const std::string& service,
                        std::string_view snapshot,
                        std::vector<KeyRange> ranges,
                        bool keep_older) {
  std::vector<Holding> held;
  if (keep_older) {
    held = this->Find(service);
    std::erase_if(held, [snapshot](const Holding& holding) {
      return holding.snapshot == snapshot;
    });
  }
  held.push_back({std::string(snapshot), std::move(ranges)});
  this->holdings[service] = std::move(held);
}

const std::vector<SnapshotTable::Holding>& SnapshotTable::Find(
    std::string_view service) const {
  static const std::vector<Holding> kNone;
  auto found = this->holdings.find(service);
  if (found == this->holdings.end()) {
    found = this->holdings.find("");
  }
  return found == this->holdings.end() ? kNone : found->second;
}

bool SnapshotTable::Holds(std::string_view service,
                          std::string_view snapshot,
                          KeyRange range) const {
  const auto& held = this->Find(service);
  return std::any_of(held.begin(), held.end(), [&](const Holding& holding) {
    const auto covers = [range](const KeyRange& part) {
      return part.begin <= range.begin && range.end <= part.end;
    };
    return holding.snapshot == snapshot &&
           (holding.ranges.empty() ||
            std::any_of(holding.ranges.begin(), holding.ranges.end(), covers));
  });
}

std::string SnapshotTable::Present(std::string_view service) const {
  const auto& held = this->Find(service);
  return held.empty() ? "" : held.back().snapshot;
}

}  // namespace auburnyard::util
