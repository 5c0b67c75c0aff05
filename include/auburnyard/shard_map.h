#ifndef AUBURNYARD_SHARD_MAP_H_
#define AUBURNYARD_SHARD_MAP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/key_range.h"

namespace auburnyard {

/// One shard of a snapshot and the targets that hold it.
struct Shard {
  std::string id;
  KeyRange range;
  std::vector<std::string> targets;
};

/// Shard map of one snapshot of a service. Immutable once published; queries
/// keep the map they started with by a shared pointer.
struct ShardMap {
  std::string service;
  std::uint64_t revision = 0;  ///< increases monotonically per service
  std::string snapshot;
  std::vector<Shard> shards;
};

/// Parses a catalog document. Throws Error(kBadRequest) with the name of the
/// invalid member.
ShardMap ParseShardMap(std::string_view json);
std::string SerializeShardMap(const ShardMap& map);

}  // namespace auburnyard

#endif  // AUBURNYARD_SHARD_MAP_H_
