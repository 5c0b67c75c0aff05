#ifndef AUBURNYARD_COVERAGE_H_
#define AUBURNYARD_COVERAGE_H_

#include <vector>

#include "auburnyard/key_range.h"

namespace auburnyard {

/// Set of the key ranges that were merged into an answer, compared with the
/// ranges of the snapshot.
class Coverage {
 public:
  /// `expected` holds the ranges of the pinned shard map.
  explicit Coverage(std::vector<KeyRange> expected);

  /// Adds a merged range. Returns false and changes nothing if the range is
  /// empty, overlaps an added range or lies outside the map.
  bool Add(KeyRange range);
  /// Fraction of the keys covered, 0 to 1. Exactly 1 only if no range is
  /// missing.
  double Fraction() const;
  std::vector<KeyRange> Missing() const;
  bool Complete() const;

 private:
  std::vector<KeyRange> expected;
  std::vector<KeyRange> covered;  // sorted, merged
};

}  // namespace auburnyard

#endif  // AUBURNYARD_COVERAGE_H_
