#ifndef AUBURNYARD_RECORD_MERGER_H_
#define AUBURNYARD_RECORD_MERGER_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard {

/// Keeps the greatest fixed-size records, compared byte by byte. Memory use is
/// bounded by the limit on the number of records.
class RecordMerger {
 public:
  static constexpr std::size_t kRecordBytes = 16;

  explicit RecordMerger(std::size_t limit);

  /// Adds the records of one part. An incomplete record at its end is ignored.
  void Add(std::string_view part);
  /// Moves out the records, greatest first.
  std::string Take();

 private:
  using Record = std::array<unsigned char, kRecordBytes>;

  std::size_t limit;
  std::vector<Record> heap;  // the smallest record is at the front
};

}  // namespace auburnyard

#endif  // AUBURNYARD_RECORD_MERGER_H_
