#include "util/target_standin/load_reporter.h"

namespace auburnyard::util {

namespace {

// Enough for 10 s of lag at the request rate of one target.
constexpr std::size_t kMaxHistoryEntries = 20'000;

}  // namespace

std::optional<std::uint32_t> LoadReporter::Report(std::uint32_t load,
                                                  const TargetFaults& faults,
                                                  TimePoint now) {
  this->history.emplace_back(now, load);
  while (this->history.size() > kMaxHistoryEntries ||
         (this->history.size() > 1 &&
          this->history[1].first <= now - faults.load_lag)) {
    this->history.pop_front();
  }
  switch (faults.load_report) {
    case LoadReport::kTrue:
      return load;
    case LoadReport::kLagging:
      return this->history.front().first <= now - faults.load_lag
                 ? this->history.front().second
                 : 0;
    case LoadReport::kFixed:
      return faults.load_value;
    case LoadReport::kAbsent:
      break;
  }
  return std::nullopt;
}

}  // namespace auburnyard::util
