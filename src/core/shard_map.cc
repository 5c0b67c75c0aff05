#include "auburnyard/shard_map.h"

#include <algorithm>
#include <limits>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kMaxKey = std::numeric_limits<std::uint64_t>::max();

Shard ParseShard(const boost::json::value& value, const std::string& path) {
  const detail::JsonReader reader(value, path, ErrorKind::kBadRequest);
  reader.AllowOnly({"id", "begin", "end", "targets"});
  Shard shard;
  shard.id = reader.String("id");
  shard.range = {reader.Integer("begin", 0, kMaxKey),
                 reader.Integer("end", 0, kMaxKey)};
  if (shard.range.empty()) {
    throw Error(ErrorKind::kBadRequest, path + ": the key range is empty");
  }
  for (const boost::json::value& target : reader.Array("targets")) {
    if (!target.is_string()) {
      throw Error(ErrorKind::kBadRequest,
                  path + ".targets: expected target identifiers");
    }
    shard.targets.emplace_back(target.get_string());
  }
  return shard;
}

void CheckDisjoint(const std::vector<Shard>& shards) {
  std::vector<KeyRange> ranges;
  for (const Shard& shard : shards) {
    ranges.push_back(shard.range);
  }
  std::sort(ranges.begin(), ranges.end());
  for (std::size_t i = 1; i < ranges.size(); ++i) {
    if (ranges[i].begin < ranges[i - 1].end) {
      throw Error(ErrorKind::kBadRequest, "shards: key ranges overlap");
    }
  }
}

}  // namespace

ShardMap ParseShardMap(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"service", "revision", "snapshot", "shards", "nonce"});
  ShardMap map;
  map.service = reader.String("service");
  map.revision = reader.Integer("revision", 1, kMaxKey);
  map.snapshot = reader.String("snapshot");
  std::size_t index = 0;
  for (const boost::json::value& shard : reader.Array("shards")) {
    map.shards.push_back(
        ParseShard(shard, "shards[" + std::to_string(index++) + "]"));
  }
  CheckDisjoint(map.shards);
  return map;
}

std::string SerializeShardMap(const ShardMap& map) {
  boost::json::array shards;
  for (const Shard& shard : map.shards) {
    shards.push_back({{"id", shard.id},
                      {"begin", shard.range.begin},
                      {"end", shard.range.end},
                      {"targets", boost::json::array(shard.targets.begin(),
                                                     shard.targets.end())}});
  }
  return boost::json::serialize(
      boost::json::object{{"service", map.service},
                          {"revision", map.revision},
                          {"snapshot", map.snapshot},
                          {"shards", std::move(shards)}});
}

}  // namespace auburnyard
