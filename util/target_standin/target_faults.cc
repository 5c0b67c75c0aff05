#include "util/target_standin/target_faults.h"

#include <array>
#include <string>
#include <string_view>

namespace auburnyard::util {

namespace {

constexpr std::array<std::string_view, 7> kReplyFaults = {
    "none", "wrong_attempt", "wrong_snapshot", "wrong_range",
    "late", "duplicate",     "crossed"};
constexpr std::array<std::string_view, 4> kLoadReports = {"true", "lagging",
                                                          "fixed", "absent"};
constexpr std::uint64_t kMaxMs = 600'000;
constexpr std::uint64_t kMaxLoad = 1'000'000;

template <typename Enum, std::size_t Count>
Enum ReadChoice(const detail::JsonReader& reader,
                std::string_view name,
                const std::array<std::string_view, Count>& names,
                Enum fallback) {
  if (!reader.Has(name)) {
    return fallback;
  }
  const std::string value = reader.String(name);
  for (std::size_t i = 0; i < Count; ++i) {
    if (names.at(i) == value) {
      return static_cast<Enum>(i);
    }
  }
  throw Error(ErrorKind::kBadRequest,
              reader.PathOf(name) + ": unknown value \"" + value + "\"");
}

std::chrono::milliseconds ReadMilliseconds(const detail::JsonReader& reader,
                                           std::string_view name,
                                           std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(reader.Integer(
      name, 0, kMaxMs, static_cast<std::uint64_t>(fallback.count())));
}

}  // namespace

TargetFaults ParseTargetFaults(const detail::JsonReader& reader,
                               TargetFaults faults) {
  faults.frozen = reader.Boolean("frozen", faults.frozen);
  faults.reply_fault =
      ReadChoice(reader, "reply_fault", kReplyFaults, faults.reply_fault);
  faults.reply_fault_share =
      reader.Number("reply_fault_share", 0, 1, faults.reply_fault_share);
  faults.reply_delay =
      ReadMilliseconds(reader, "reply_delay_ms", faults.reply_delay);
  faults.load_report =
      ReadChoice(reader, "load_report", kLoadReports, faults.load_report);
  faults.load_lag = ReadMilliseconds(reader, "load_lag_ms", faults.load_lag);
  faults.load_value = static_cast<std::uint32_t>(
      reader.Integer("load_value", 0, kMaxLoad, faults.load_value));
  return faults;
}

}  // namespace auburnyard::util
