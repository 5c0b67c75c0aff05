#include "auburnyard/decision.h"

#include <algorithm>
#include <limits>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, kDecisionEventCount> kEventNames = {
    "query_received", "attempt_started", "hedge",
    "retry",          "restart",         "gate_enqueued",
    "gate_rejected",  "gate_aborted",    "dispatched",
    "result",         "failure",         "cancelled",
    "timer",          "caller_gone",     "map_published",
    "limits_set",     "admission_set",   "note",
    "finished",       "refused",
};

constexpr std::size_t kNumberNameCount =
    static_cast<std::size_t>(NumberName::kSent) + 1;

constexpr std::array<std::string_view, kNumberNameCount> kNumberNames = {
    "begin",       "end",        "run",          "error_kind", "coverage_ppm",
    "deadline_ms", "priority",   "idempotent",   "queued",     "in_flight",
    "window",      "delay_us",   "load",         "draining",   "revision",
    "slots",       "cold_limit", "queue_length", "domain_in",  "leaving",
    "sent"};

template <typename Enum, std::size_t Count>
std::optional<Enum> ParseName(const std::array<std::string_view, Count>& names,
                              std::string_view name) {
  const auto* found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - names.begin());
}

}  // namespace

std::string_view ToString(DecisionEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

std::optional<DecisionEvent> ParseDecisionEvent(std::string_view name) {
  return ParseName<DecisionEvent>(kEventNames, name);
}

std::string_view ToString(NumberName name) {
  return kNumberNames.at(static_cast<std::size_t>(name));
}

std::optional<NumberName> ParseNumberName(std::string_view name) {
  return ParseName<NumberName>(kNumberNames, name);
}

DecisionNumbers::DecisionNumbers(std::initializer_list<DecisionNumber> list) {
  for (const DecisionNumber& number : list) {
    this->Add(number.name, number.value);
  }
}

void DecisionNumbers::Add(NumberName name, std::uint64_t value) {
  if (this->count == kCapacity) {
    throw Error(ErrorKind::kInternal, "a decision record holds at most " +
                                          std::to_string(kCapacity) +
                                          " numbers");
  }
  this->numbers.at(this->count++) = {name, value};
}

std::optional<std::uint64_t> DecisionNumbers::Find(NumberName name) const {
  for (const DecisionNumber& number : this->all()) {
    if (number.name == name) {
      return number.value;
    }
  }
  return std::nullopt;
}

bool DecisionNumbers::operator==(const DecisionNumbers& other) const {
  const auto left = this->all();
  const auto right = other.all();
  return std::is_permutation(left.begin(), left.end(), right.begin(),
                             right.end());
}

}  // namespace auburnyard
