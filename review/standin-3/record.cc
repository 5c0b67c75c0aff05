#include "record.h"

namespace auburnyard::review {

Record::Record(const std::string& path)
    : file(path), start(std::chrono::steady_clock::now()) {}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - this->start);
  this->file << elapsed.count() << " ms " << line << '\n';
}

void Record::Flush() {
  const std::lock_guard lock(this->mutex);
  this->file.flush();
}

}  // namespace auburnyard::review
