#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_

#include <cstdint>

#include <boost/json/object.hpp>

namespace auburnyard::util {

/// Cold start of a target: counts concurrency until enough work has completed.
class ColdState {
 public:
  ColdState(std::uint32_t limit, std::uint32_t warm_after, bool start_cold);

  /// Becomes cold. Work that is present already does not count as excess.
  void Chill();
  /// Records an arrival that makes `present` sub-requests present at once.
  /// True if this exceeds the limit.
  bool OnArrival(std::uint32_t present);
  void OnCompletion();

  bool cold() const { return this->is_cold; }
  /// The limit was exceeded during the present cold period.
  bool overrun() const { return this->is_overrun; }
  std::uint32_t limit() const { return this->cold_limit; }
  std::uint32_t peak() const { return this->largest; }
  boost::json::object ToJson() const;
  void ResetRecords();

 private:
  std::uint32_t cold_limit;
  std::uint32_t warm_after;
  std::uint32_t completions = 0;
  std::uint32_t largest = 0;
  std::uint64_t violations = 0;
  std::uint64_t periods = 0;
  bool is_cold;
  bool is_overrun = false;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_
