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

/// Bounded log of recent decisions. Thread-safe. The oldest decision is dropped
/// as a whole when a limit is reached.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogLimits limits = {});

  void Append(const DecisionRecord& record);
  /// All kept records of a decision, in the order of appending; empty if the
  /// decision is not known.
  std::vector<DecisionRecord> Find(std::string_view decision) const;
  std::size_t decisions() const;
  std::size_t bytes() const;
  /// Records that were not kept because their decision had reached its limit.
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
  struct Part {
    mutable std::mutex mutex;
    std::list<Entry> order;  // oldest decision first
    std::unordered_map<std::string_view,
                       std::list<Entry>::iterator,
                       Hash,
                       std::equal_to<>>
        index;  // keys refer to Entry::decision
    std::size_t bytes = 0;
  };

  static constexpr std::size_t kParts = 16;

  static std::size_t PartIndex(std::string_view decision);
  void Trim(Part& part) const;

  DecisionLogLimits limits;
  std::array<Part, kParts> parts;
  std::atomic<std::uint64_t> dropped{0};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_DECISION_LOG_H_
