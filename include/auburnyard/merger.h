#ifndef AUBURNYARD_MERGER_H_
#define AUBURNYARD_MERGER_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include <boost/json/array.hpp>

#include "auburnyard/coverage.h"
#include "auburnyard/shard_map.h"

namespace auburnyard {

/// Maximum size of one answer.
struct MergeLimits {
  std::size_t items = 100'000;
  std::size_t bytes = 16 * 1024 * 1024;
};

enum class MergeOutcome { kMerged, kWrongRange, kTooLarge };

/// Merges the partial results of one snapshot.
class Merger {
 public:
  Merger(const ShardMap& map, MergeLimits limits);

  /// Adds the items of a range. Changes nothing unless it returns kMerged.
  MergeOutcome Add(KeyRange range, boost::json::array items);
  const Coverage& coverage() const { return this->merged; }
  /// Moves out the items, ordered by key range.
  boost::json::array TakeItems();

 private:
  Coverage merged;
  MergeLimits limits;
  std::map<std::uint64_t, boost::json::array> parts;  // by begin of the range
  std::size_t item_count = 0;
  std::size_t byte_count = 0;
};

/// Approximate size of the serialized value.
std::size_t EstimateBytes(const boost::json::value& value);

}  // namespace auburnyard

#endif  // AUBURNYARD_MERGER_H_
