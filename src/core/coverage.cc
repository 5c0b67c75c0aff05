#include "auburnyard/coverage.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnyard {

namespace detail {

std::vector<KeyRange> SortAndMerge(std::vector<KeyRange> ranges) {
  std::erase_if(ranges, [](const KeyRange& range) { return range.empty(); });
  std::sort(ranges.begin(), ranges.end());
  std::vector<KeyRange> merged;
  for (const KeyRange& range : ranges) {
    if (!merged.empty() && range.begin <= merged.back().end) {
      merged.back().end = std::max(merged.back().end, range.end);
    } else {
      merged.push_back(range);
    }
  }
  return merged;
}

double TotalSize(const std::vector<KeyRange>& ranges) {
  double total = 0;
  for (const KeyRange& range : ranges) {
    total += static_cast<double>(range.size());
  }
  return total;
}

}  // namespace detail

Coverage::Coverage(std::vector<KeyRange> expected_ranges)
    : expected(detail::SortAndMerge(std::move(expected_ranges))) {}

bool Coverage::Add(KeyRange range) {
  const auto part = std::partition_point(
      this->expected.begin(), this->expected.end(),
      [&range](const KeyRange& one) { return one.end < range.end; });
  const bool inside =
      part != this->expected.end() && part->begin <= range.begin;
  auto next = std::partition_point(
      this->covered.begin(), this->covered.end(),
      [&range](const KeyRange& one) { return one.end <= range.begin; });
  const bool overlaps = next != this->covered.end() && next->begin < range.end;
  if (range.empty() || !inside || overlaps) {
    return false;
  }
  // Joins adjacent ranges.
  if (next != this->covered.end() && next->begin == range.end) {
    range.end = next->end;
    next = this->covered.erase(next);
  }
  if (next != this->covered.begin() && std::prev(next)->end == range.begin) {
    std::prev(next)->end = range.end;
  } else {
    this->covered.insert(next, range);
  }
  return true;
}

double Coverage::Fraction() const {
  if (this->Complete()) {
    return 1.0;
  }
  // With large ranges the quotient can round up to 1; an incomplete answer must
  // stay below it.
  constexpr double kMaxIncompleteFraction = 0.999999;
  return std::min(
      kMaxIncompleteFraction,
      detail::TotalSize(this->covered) / detail::TotalSize(this->expected));
}

std::vector<KeyRange> Coverage::Missing() const {
  std::vector<KeyRange> missing;
  auto next = this->covered.begin();
  for (const KeyRange& part : this->expected) {
    std::uint64_t position = part.begin;
    for (; next != this->covered.end() && next->end <= part.end; ++next) {
      if (position < next->begin) {
        missing.push_back({position, next->begin});
      }
      position = next->end;
    }
    if (position < part.end) {
      missing.push_back({position, part.end});
    }
  }
  return missing;
}

bool Coverage::Complete() const {
  return this->covered == this->expected;
}

}  // namespace auburnyard
