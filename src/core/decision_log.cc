#include "auburnyard/decision_log.h"

#include <utility>

#include "src/core/record_codec.h"

namespace auburnyard {

namespace {

// Memory of a decision besides its encoded records: list node, index node and
// two string headers, as allocated by libstdc++.
constexpr std::size_t kEntryOverheadBytes = 192;

std::size_t CostOf(std::string_view decision, const std::string& encoded) {
  return kEntryOverheadBytes + decision.size() + encoded.capacity();
}

}  // namespace

DecisionLog::DecisionLog(DecisionLogLimits log_limits) : limits(log_limits) {}

std::size_t DecisionLog::SegmentIndex(std::string_view decision) {
  return Hash()(decision) % kSegments;
}

void DecisionLog::Append(const DecisionRecord& record) {
  Segment& segment = this->segments.at(SegmentIndex(record.decision));
  const std::scoped_lock lock(segment.mutex);
  auto found = segment.index.find(record.decision);
  if (found == segment.index.end()) {
    segment.order.push_back({record.decision, {}});
    const auto entry = std::prev(segment.order.end());
    found = segment.index.emplace(entry->decision, entry).first;
    segment.bytes += CostOf(entry->decision, entry->encoded);
  }
  std::string& encoded = found->second->encoded;
  if (encoded.size() >= this->limits.bytes_per_decision) {
    this->dropped.fetch_add(1);
    return;
  }
  const std::size_t before = encoded.capacity();
  detail::EncodeRecord(record, encoded);
  segment.bytes += encoded.capacity() - before;
  this->EvictOldest(segment);
}

void DecisionLog::EvictOldest(Segment& segment) const {
  // The newest decision is kept even if it alone exceeds the segment's limit.
  while (segment.order.size() > 1 &&
         (segment.order.size() > this->limits.decisions / kSegments ||
          segment.bytes > this->limits.bytes / kSegments)) {
    const Entry& oldest = segment.order.front();
    segment.bytes -= CostOf(oldest.decision, oldest.encoded);
    segment.index.erase(oldest.decision);
    segment.order.pop_front();
  }
}

std::vector<DecisionRecord> DecisionLog::Find(std::string_view decision) const {
  std::string encoded;
  {
    const Segment& segment = this->segments.at(SegmentIndex(decision));
    const std::scoped_lock lock(segment.mutex);
    const auto found = segment.index.find(decision);
    if (found == segment.index.end()) {
      return {};
    }
    encoded = found->second->encoded;
  }
  std::vector<DecisionRecord> records;
  for (std::string_view rest = encoded; !rest.empty();) {
    records.push_back(detail::DecodeRecord(rest));
    records.back().decision = decision;
  }
  return records;
}

std::size_t DecisionLog::decisions() const {
  std::size_t total = 0;
  for (const Segment& segment : this->segments) {
    const std::scoped_lock lock(segment.mutex);
    total += segment.order.size();
  }
  return total;
}

std::size_t DecisionLog::bytes() const {
  std::size_t total = 0;
  for (const Segment& segment : this->segments) {
    const std::scoped_lock lock(segment.mutex);
    total += segment.bytes;
  }
  return total;
}

}  // namespace auburnyard
