#ifndef AUBURNYARD_DECISION_LOG_H_
#define AUBURNYARD_DECISION_LOG_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnyard/decision.h"

namespace auburnyard {

struct DecisionLogLimits {
  std::size_t decisions = 20'000;
  std::size_t bytes = std::size_t{8} * 1024 * 1024;
  std::size_t bytes_per_decision = std::size_t{64} * 1024;
};

/// Bounded log of recent decisions. Thread-safe. When a limit is reached, the
/// oldest decision is evicted with all its records.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogLimits limits = {});

  void Append(const DecisionRecord& record);
  /// Returns the retained records of a decision in the order of appending;
  /// empty if the log does not contain the decision.
  std::vector<DecisionRecord> Find(std::string_view decision) const;
  std::size_t decisions() const;
  std::size_t bytes() const;
  /// Number of records dropped because their decision had reached its limit.
  std::uint64_t dropped_records() const { return this->dropped.load(); }

 private:
  struct Entry {
    std::string decision;
    std::string encoded;
  };
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  struct Segment {
    mutable std::mutex mutex;
    std::list<Entry> order;  // oldest decision first
    std::unordered_map<std::string_view,
                       std::list<Entry>::iterator,
                       Hash,
                       std::equal_to<>>
        index;  // keys refer to Entry::decision
    std::size_t bytes = 0;
  };

  static constexpr std::size_t kSegments = 16;

  static std::size_t SegmentIndex(std::string_view decision);
  void EvictOldest(Segment& segment) const;

  DecisionLogLimits limits;
  std::array<Segment, kSegments> segments;
  std::atomic<std::uint64_t> dropped{0};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_DECISION_LOG_H_
