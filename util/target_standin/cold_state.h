#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_

#include <cstdint>

#include <boost/json/object.hpp>

namespace auburnyard::util {

/// Cold start of a target: checks the concurrency against a limit until a given
/// number of sub-requests has completed.
class ColdState {
 public:
  ColdState(std::uint32_t limit, std::uint32_t warm_after, bool start_cold);

  /// Starts a cold period.
  void BecomeCold();
  /// Records an arrival after which `concurrency` sub-requests of the current
  /// cold period are queued or running. Returns true if this exceeds the limit.
  bool OnArrival(std::uint32_t concurrency);
  void OnCompletion();

  bool cold() const { return this->is_cold; }
  /// True if the limit was exceeded during the current cold period.
  bool limit_exceeded() const { return this->is_limit_exceeded; }
  std::uint32_t limit() const { return this->cold_limit; }
  boost::json::object ToJson() const;
  void ResetRecords();

 private:
  std::uint32_t cold_limit;
  std::uint32_t warm_after;
  std::uint32_t completions = 0;
  std::uint32_t peak_concurrency = 0;
  std::uint64_t violations = 0;
  std::uint64_t periods = 0;
  bool is_cold;
  bool is_limit_exceeded = false;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_COLD_STATE_H_
