#include "auburnyard/merger.h"

#include <iterator>
#include <utility>

namespace auburnyard {

namespace {

constexpr std::size_t kScalarBytes = 8;
constexpr std::size_t kPunctuationBytes = 2;

std::vector<KeyRange> RangesOf(const ShardMap& map) {
  std::vector<KeyRange> ranges;
  for (const Shard& shard : map.shards) {
    ranges.push_back(shard.range);
  }
  return ranges;
}

std::size_t EstimateArray(const boost::json::array& array) {
  std::size_t bytes = kPunctuationBytes;
  for (const boost::json::value& item : array) {
    bytes += EstimateBytes(item);
  }
  return bytes;
}

}  // namespace

// The parser bounds the depth of a value, and with it the recursion.
std::size_t EstimateBytes(const boost::json::value& value) {
  if (value.is_string()) {
    return value.get_string().size() + kPunctuationBytes;
  }
  if (value.is_array()) {
    return EstimateArray(value.get_array());
  }
  if (!value.is_object()) {
    return kScalarBytes;
  }
  std::size_t bytes = kPunctuationBytes;
  for (const auto& member : value.get_object()) {
    bytes += member.key().size() + 2 * kPunctuationBytes +
             EstimateBytes(member.value());
  }
  return bytes;
}

Merger::Merger(const ShardMap& map, MergeLimits merge_limits)
    : merged(RangesOf(map)), limits(merge_limits) {}

MergeOutcome Merger::Add(KeyRange range, boost::json::array items) {
  const std::size_t bytes = EstimateArray(items);
  if (this->item_count + items.size() > this->limits.items ||
      this->byte_count + bytes > this->limits.bytes) {
    return MergeOutcome::kTooLarge;
  }
  if (!this->merged.Add(range)) {
    return MergeOutcome::kWrongRange;
  }
  this->item_count += items.size();
  this->byte_count += bytes;
  this->parts.emplace(range.begin, std::move(items));
  return MergeOutcome::kMerged;
}

boost::json::array Merger::TakeItems() {
  boost::json::array all;
  all.reserve(this->item_count);
  for (auto& [begin, items] : this->parts) {
    all.insert(all.end(), std::make_move_iterator(items.begin()),
               std::make_move_iterator(items.end()));
  }
  this->parts.clear();
  return all;
}

}  // namespace auburnyard
