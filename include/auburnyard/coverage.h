#ifndef AUBURNYARD_COVERAGE_H_
#define AUBURNYARD_COVERAGE_H_

#include <vector>

#include "auburnyard/key_range.h"

namespace auburnyard {

/// Set of key ranges that were merged into an answer, relative to the ranges a
/// snapshot contains.
class Coverage {
 public:
  /// `whole` lists the ranges of the pinned shard map.
  explicit Coverage(std::vector<KeyRange> whole);

  /// Adds a merged range. Returns false, and changes nothing, if any part was
  /// added before or lies outside the map.
  bool Add(KeyRange range);
  /// Share of keys covered, 0 to 1. Exactly 1 only if no range is missing.
  double Fraction() const;
  std::vector<KeyRange> Missing() const;
  bool Complete() const;

 private:
  std::vector<KeyRange> whole;
  std::vector<KeyRange> covered;  // sorted, merged
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COVERAGE_H_
