#include "auburnyard/record_merger.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace auburnyard {

RecordMerger::RecordMerger(std::size_t record_limit) : limit(record_limit) {}

void RecordMerger::Add(std::string_view part) {
  if (this->limit == 0) {
    return;
  }
  while (part.size() >= kRecordBytes) {
    Record record;
    std::memcpy(record.data(), part.data(), kRecordBytes);
    part.remove_prefix(kRecordBytes);
    if (this->heap.size() < this->limit) {
      this->heap.push_back(record);
      std::push_heap(this->heap.begin(), this->heap.end(), std::greater<>());
    } else if (record > this->heap.front()) {
      std::pop_heap(this->heap.begin(), this->heap.end(), std::greater<>());
      this->heap.back() = record;
      std::push_heap(this->heap.begin(), this->heap.end(), std::greater<>());
    }
  }
}

std::string RecordMerger::Take() {
  std::sort_heap(this->heap.begin(), this->heap.end(), std::greater<>());
  std::string body;
  body.reserve(this->heap.size() * kRecordBytes);
  for (const Record& record : this->heap) {
    body.append(reinterpret_cast<const char*>(record.data()), record.size());
  }
  this->heap.clear();
  return body;
}

}  // namespace auburnyard
