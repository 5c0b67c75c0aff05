#ifndef AUBURNYARD_REVIEW_STANDIN_2_RECORD_H_
#define AUBURNYARD_REVIEW_STANDIN_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Lines with the time since the start, in seconds. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);
  double SecondsAt(TimePoint time) const;

 private:
  std::mutex mutex;
  std::ofstream file;
  TimePoint start = Clock::now();
};

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_2_RECORD_H_
