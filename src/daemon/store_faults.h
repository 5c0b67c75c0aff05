#ifndef AUBURNYARD_SRC_DAEMON_STORE_FAULTS_H_
#define AUBURNYARD_SRC_DAEMON_STORE_FAULTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "src/daemon/store_fault.h"

namespace auburnyard {

/// Current faults of the store's documents, and how often each kind occurred.
/// Logs each change. Thread-safe.
class StoreFaults {
 public:
  void Report(StoreFault fault);
  void Clear(const std::string& key);
  std::vector<StoreFault> List() const;
  std::array<std::uint64_t, kStoreFaultKindCount> counters() const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, StoreFault> present;
  std::array<std::uint64_t, kStoreFaultKindCount> counts{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_STORE_FAULTS_H_
