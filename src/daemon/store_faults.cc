#include "src/daemon/store_faults.h"

#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, kStoreFaultKindCount> kNames = {
    "older", "conflict", "missing", "malformed"};

}  // namespace

std::string_view ToString(StoreFaultKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

void StoreFaults::Report(StoreFault fault) {
  {
    const std::lock_guard lock(this->mutex);
    StoreFault& held = this->present[fault.key];
    if (held.key == fault.key && held.kind == fault.kind &&
        held.detail == fault.detail) {
      return;
    }
    held = fault;
    ++this->counts.at(static_cast<std::size_t>(fault.kind));
  }
  LogEvent(spdlog::level::warn, "store document refused",
           {{"key", fault.key},
            {"fault", ToString(fault.kind)},
            {"detail", fault.detail}});
}

void StoreFaults::Clear(const std::string& key) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->present.erase(key) == 0) {
      return;
    }
  }
  LogEvent(spdlog::level::info, "store document in order again",
           {{"key", key}});
}

std::vector<StoreFault> StoreFaults::List() const {
  const std::lock_guard lock(this->mutex);
  std::vector<StoreFault> faults;
  for (const auto& [key, fault] : this->present) {
    faults.push_back(fault);
  }
  return faults;
}

std::array<std::uint64_t, kStoreFaultKindCount> StoreFaults::counters() const {
  const std::lock_guard lock(this->mutex);
  return this->counts;
}

}  // namespace auburnyard
