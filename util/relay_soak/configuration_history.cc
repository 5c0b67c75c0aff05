#include "util/relay_soak/configuration_history.h"

#include <algorithm>

namespace auburnyard::util {

void ConfigurationHistory::Add(std::uint64_t version,
                               TimePoint sent,
                               TimePoint acknowledged) {
  this->entries.push_back({version, sent, acknowledged});
}

std::vector<std::uint64_t> ConfigurationHistory::Candidates(
    TimePoint request_sent,
    TimePoint answered) const {
  std::vector<std::uint64_t> candidates;
  for (const Entry& entry : this->entries) {
    if (entry.sent > answered) {
      break;
    }
    if (entry.acknowledged + this->limit <= request_sent) {
      candidates.clear();  // due, so no older version may handle the request
    }
    candidates.push_back(entry.version);
  }
  return candidates;
}

bool ConfigurationHistory::Allowed(
    TimePoint request_sent,
    TimePoint answered,
    const std::function<bool(std::uint64_t version)>& allows) const {
  const std::vector<std::uint64_t> candidates =
      this->Candidates(request_sent, answered);
  return std::any_of(candidates.begin(), candidates.end(), allows);
}

bool ConfigurationHistory::AllowedByAll(
    TimePoint request_sent,
    TimePoint answered,
    const std::function<bool(std::uint64_t version)>& allows) const {
  const std::vector<std::uint64_t> candidates =
      this->Candidates(request_sent, answered);
  return std::all_of(candidates.begin(), candidates.end(), allows);
}

}  // namespace auburnyard::util
