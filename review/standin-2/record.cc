#include "review/standin-2/record.h"

#include <iomanip>

namespace review {

Record::Record(const std::string& path) : file(path) {
  this->file << std::fixed << std::setprecision(3);
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->file << this->SecondsAt(Clock::now()) << ' ' << line << std::endl;
}

double Record::SecondsAt(TimePoint time) const {
  return std::chrono::duration<double>(time - this->start).count();
}

}  // namespace review
