#include "auburnyard/attempt_table.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

AttemptTable::AttemptTable(std::string prefix) : id_prefix(std::move(prefix)) {}

Attempt& AttemptTable::Add(Attempt attempt) {
  attempt.id = this->id_prefix + "." + std::to_string(this->attempts.size());
  Attempt& added = this->attempts.emplace_back(std::move(attempt));
  this->index.emplace(added.id, &added);
  return added;
}

Attempt* AttemptTable::Find(const AttemptId& id) {
  const auto found = this->index.find(id);
  return found == this->index.end() ? nullptr : found->second;
}

RunState AttemptTable::CombinedRunState() const {
  RunState state = RunState::kNotRun;
  for (const Attempt& attempt : this->attempts) {
    if (attempt.ended == RunState::kRun) {
      return RunState::kRun;
    }
    if (attempt.ended != RunState::kNotRun) {
      state = RunState::kUnknown;
    }
  }
  return state;
}

bool AttemptTable::CanBeNotRun() const {
  return std::all_of(this->attempts.begin(), this->attempts.end(),
                     [](const Attempt& attempt) {
                       return attempt.ended ? attempt.ended == RunState::kNotRun
                                            : !attempt.dispatched;
                     });
}

bool AttemptTable::AllEnded() const {
  return std::all_of(
      this->attempts.begin(), this->attempts.end(),
      [](const Attempt& attempt) { return attempt.ended.has_value(); });
}

bool AttemptTable::AnyDispatched() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(),
                     [](const Attempt& attempt) { return attempt.dispatched; });
}

}  // namespace auburnyard
