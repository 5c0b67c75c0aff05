#ifndef AUBURNYARD_REVIEW_STANDIN_3_RECORD_H_
#define AUBURNYARD_REVIEW_STANDIN_3_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace auburnyard::review {

/// What was sent, answered and run, one line each. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  void Flush();

 private:
  std::mutex mutex;
  std::ofstream file;
  std::chrono::steady_clock::time_point start;
};

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_RECORD_H_
