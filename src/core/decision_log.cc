#include "auburnyard/decision_log.h"

#include <utility>

#include "src/core/record_codec.h"

namespace auburnyard {

namespace {

// Memory of a decision besides its encoded records: list node, index node and
// two string headers, as allocated by the GNU C++ library.
constexpr std::size_t kEntryOverheadBytes = 192;

std::size_t CostOf(std::string_view decision, const std::string& encoded) {
  return kEntryOverheadBytes + decision.size() + encoded.capacity();
}

}  // namespace

DecisionLog::DecisionLog(DecisionLogLimits log_limits) : limits(log_limits) {}

std::size_t DecisionLog::PartIndex(std::string_view decision) {
  return Hash()(decision) % kParts;
}

void DecisionLog::Append(const DecisionRecord& record) {
  Part& part = this->parts.at(PartIndex(record.decision));
  const std::scoped_lock lock(part.mutex);
  auto found = part.index.find(record.decision);
  if (found == part.index.end()) {
    part.order.push_back({record.decision, {}});
    const auto entry = std::prev(part.order.end());
    found = part.index.emplace(entry->decision, entry).first;
    part.bytes += CostOf(entry->decision, entry->encoded);
  }
  std::string& encoded = found->second->encoded;
  if (encoded.size() >= this->limits.bytes_per_decision) {
    this->dropped.fetch_add(1);
    return;
  }
  const std::size_t before = encoded.capacity();
  detail::EncodeRecord(record, encoded);
  part.bytes += encoded.capacity() - before;
  this->Trim(part);
}

void DecisionLog::Trim(Part& part) const {
  // The newest decision is kept even if it exceeds a part's share alone.
  while (part.order.size() > 1 &&
         (part.order.size() > this->limits.decisions / kParts ||
          part.bytes > this->limits.bytes / kParts)) {
    const Entry& oldest = part.order.front();
    part.bytes -= CostOf(oldest.decision, oldest.encoded);
    part.index.erase(oldest.decision);
    part.order.pop_front();
  }
}

std::vector<DecisionRecord> DecisionLog::Find(std::string_view decision) const {
  std::string encoded;
  {
    const Part& part = this->parts.at(PartIndex(decision));
    const std::scoped_lock lock(part.mutex);
    const auto found = part.index.find(decision);
    if (found == part.index.end()) {
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
  for (const Part& part : this->parts) {
    const std::scoped_lock lock(part.mutex);
    total += part.order.size();
  }
  return total;
}

std::size_t DecisionLog::bytes() const {
  std::size_t total = 0;
  for (const Part& part : this->parts) {
    const std::scoped_lock lock(part.mutex);
    total += part.bytes;
  }
  return total;
}

}  // namespace auburnyard
