#include "util/platform_standin/platform_faults.h"

#include <string>

namespace auburnyard::util {

namespace {

constexpr std::uint64_t kMaxMs = 600'000;
constexpr std::uint64_t kMaxRate = 1'000'000;

Outage ParseOutage(const std::string& name) {
  if (name == "none") {
    return Outage::kNone;
  }
  if (name == "refuse") {
    return Outage::kRefuse;
  }
  if (name == "silent") {
    return Outage::kSilent;
  }
  if (name == "down") {
    return Outage::kDown;
  }
  throw Error(ErrorKind::kBadRequest,
              "outage: expected \"none\", \"refuse\", \"silent\" or \"down\"");
}

std::uint32_t Rate(const detail::JsonReader& reader,
                   std::string_view name,
                   std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      reader.Integer(name, 0, kMaxRate, fallback));
}

}  // namespace

PlatformFaults ParsePlatformFaults(const detail::JsonReader& reader,
                                   PlatformFaults faults) {
  if (reader.Has("outage")) {
    faults.outage = ParseOutage(reader.String("outage"));
  }
  faults.delay = std::chrono::milliseconds(reader.Integer(
      "delay_ms", 0, kMaxMs, static_cast<std::uint64_t>(faults.delay.count())));
  faults.lost_reply_share =
      reader.Number("lost_reply_share", 0, 1, faults.lost_reply_share);
  faults.reads_per_second =
      Rate(reader, "reads_per_second", faults.reads_per_second);
  faults.writes_per_second =
      Rate(reader, "writes_per_second", faults.writes_per_second);
  return faults;
}

}  // namespace auburnyard::util
