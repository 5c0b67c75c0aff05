#include "util/target_standin/snapshot_table.h"

#include <algorithm>
#include <utility>

namespace auburnyard::util {

SnapshotTable::SnapshotTable(const std::vector<std::string>& snapshots) {
  auto& all = this->snapshots_by_service[""];
  for (const std::string& snapshot : snapshots) {
    all.push_back({snapshot, {}});
  }
}

void SnapshotTable::Set(const std::string& service,
                        std::string_view snapshot,
                        std::vector<KeyRange> ranges,
                        bool keep_older) {
  std::vector<HeldSnapshot> held;
  if (keep_older) {
    held = this->Find(service);
    std::erase_if(held, [snapshot](const HeldSnapshot& holding) {
      return holding.snapshot == snapshot;
    });
  }
  held.push_back({std::string(snapshot), std::move(ranges)});
  this->snapshots_by_service[service] = std::move(held);
}

const std::vector<SnapshotTable::HeldSnapshot>& SnapshotTable::Find(
    std::string_view service) const {
  static const std::vector<HeldSnapshot> kNone;
  auto found = this->snapshots_by_service.find(service);
  if (found == this->snapshots_by_service.end()) {
    found = this->snapshots_by_service.find("");
  }
  return found == this->snapshots_by_service.end() ? kNone : found->second;
}

bool SnapshotTable::Holds(std::string_view service,
                          std::string_view snapshot,
                          KeyRange range) const {
  const auto& held = this->Find(service);
  return std::any_of(
      held.begin(), held.end(), [&](const HeldSnapshot& holding) {
        const auto covers = [range](const KeyRange& part) {
          return part.begin <= range.begin && range.end <= part.end;
        };
        return holding.snapshot == snapshot &&
               (holding.ranges.empty() ||
                std::any_of(holding.ranges.begin(), holding.ranges.end(),
                            covers));
      });
}

std::string SnapshotTable::CurrentSnapshot(std::string_view service) const {
  const auto& held = this->Find(service);
  return held.empty() ? "" : held.back().snapshot;
}

}  // namespace auburnyard::util
